// The waiting line: takes requests, tells how long they will wait, hands them over, refuses what is too late.
//
// Order. Within a team and a lane (light or heavy classes) requests leave by key: the time they were taken
// less a head start that grows with the logarithm of their class's worth. All age alike, so the order of two
// that wait never changes (Jackson 1960; Kleinrock's time-dependent priorities with equal slopes), and what
// comes later than the greatest head start goes behind. Among teams the least tag goes first (ledger.h).
//
// Bounds. A request is handed over or refused by its latest start: when its client gives up less the time it
// should run. See docs/waiting.md.
//
// Used by one thread. Every request taken leaves by exactly one of: Sent (first attempt), Refuse, Done.
#ifndef LEMONCROFT_WAITING_LINE_H_
#define LEMONCROFT_WAITING_LINE_H_

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission_queue/forecast.h"
#include "admission_queue/ledger.h"
#include "admission_queue/pace.h"
#include "admission_queue/running.h"
#include "admission_queue/types.h"
#include "admission_queue/wheel.h"
#include "admission_queue/work_index.h"

namespace lemoncroft::admission_queue {

class Line {
 public:
  explicit Line(Settings settings);

  // New settings, with requests waiting and running: teams keep their numbers, one that is gone has no
  // budget (what waits of it is refused at the next Step), classes keep theirs while requests of them
  // are known.
  void Configure(Settings settings, Time now);
  // Cores of the engines that may be sent to, all proxies' taken together.
  void SetFleet(double cores, Time now);

  // Takes a request, or refuses it: then it is not known afterwards. The ids of open requests are unique.
  struct Taken {
    std::optional<Refuse> refused;
    Estimate estimate;
    Time by{};  // it leaves the line by then, come what may
  };
  Taken Take(const Ticket& ticket, Time now);

  // What happened to a request that was handed over. Unknown ids are ignored.
  void Sent(Id id, int attempt, int priority, Time now);  // priority: 0 to 3, as the engine is told
  void Ended(Id id, int attempt, Work told, bool ran, Time now);
  // It has its final answer, or its client has gone: it waits no more. Its attempts still end by Ended.
  void Done(Id id, Time now);

  // Decides; appends to `out`. Called after any of the above and at Due().
  void Step(Time now, std::vector<Decision>& out);
  Time Due() const { return due_; }

  std::optional<Estimate> EstimateOf(Id id, Time now);
  // When one like it that is turned away now had better come back: when a newcomer would most likely start
  // at once, were no others to come.
  Span ComeBack(Team team, Klass klass, Time now);

  struct TeamState {
    std::string name;
    double cores = 0, charged = 0, tag = 0;  // this proxy's part; core-seconds; seconds
    int threads = 0;
    std::size_t waiting = 0;
    Work work{};     // that waits
    Span longest{};  // estimate for a newcomer of its last class
    std::uint64_t taken = 0, handed = 0, refused = 0;
  };
  struct State {
    std::vector<TeamState> teams;
    double fleet_cores = 0, scale = 1;
    std::array<double, 2> pace{};    // core-seconds a second, heavy and light
    std::array<double, 2> spread{};  // mean error of estimates, of the logarithm
    std::size_t waiting = 0, handed = 0, running = 0;
    int overrun_threads = 0;
  };
  State Describe(Time now);
  std::size_t waiting() const { return waiting_; }
  std::size_t known() const { return requests_.size(); }
  std::size_t bytes() const;  // held for what waits

 private:
  enum Lane : std::size_t { kHeavy = 0, kLight = 1, kLanes = 2 };

  struct Request {
    Team team = 0;
    Klass klass = 0;
    bool handed = false, started = false, watched = false;
    std::int16_t out = 0;     // attempts that run
    std::uint8_t passed = 0;  // by how many that were handed over later
    WorkIndex::Place place = 0;
    Work work{}, charged{};
    Time taken{}, latest{};
    Span raw{};    // the estimate when it was taken, before its correction
    Time told{};   // the start told last
    Time check{};  // when it is looked at next
  };
  struct TeamLine {
    std::vector<WorkIndex> classes;  // by class
    std::vector<Rate> coming;        // core-seconds a second, by class
    std::array<Work, kLanes> waiting{};
    std::array<std::size_t, kLanes> count{};
    int threads = 0;  // held by requests handed over, and by attempts that outlive theirs
    std::uint64_t taken = 0, handed = 0, refused = 0;
    std::size_t size() const { return count[0] + count[1]; }
  };
  struct LaneState {
    Pace pace;
    Accuracy accuracy;
    Rate starts{2.0};
    std::vector<Id> handed;  // not sent yet, oldest first
    Work handed_work{};
    Time next_at{};       // of a paced lane: nothing leaves before
    Time closed_since{};  // nothing is handed over until one that many have passed is sent
    bool closed = false, waited = false;
    Forecast forecast;
    Time forecast_at{};
    std::size_t forecast_for = 0;  // so many waited
    bool stale = true;
  };

  Lane LaneOf(Klass klass) const { return settings_.classes[klass].light ? kLight : kHeavy; }
  Span HeadStart(Klass klass) const { return heads_[klass]; }
  Work Expected(const Ticket& ticket) const;
  Span RunTime(const Request& r) const;
  Estimate Newcomer(Team team, Klass klass, Time now);
  Span Advice(Span later) const;
  Refuse Refused(const Ticket& ticket, Why why, Span later);
  void Budgets();  // of this proxy's part, scaled to the fleet

  // Estimates.
  Span Raw(const Request& r, Time now);
  Work Ahead(const Request& r) const;
  double TagNow(Team team, Lane lane) const;
  void Foresee(Lane lane, Time now);
  Estimate Judge(const Request& r, Span raw) const;
  Estimate Judge(const Request& r, Time now) { return Judge(r, Raw(r, now)); }
  double FreeCores() const;

  // Handing over.
  void HandOver(Lane lane, Time now, std::vector<Decision>& out);
  std::optional<Team> Next(Lane lane) const;
  Klass First(const TeamLine& team, Lane lane) const;
  bool Competes(Team team) const;
  bool HasThreads(Team team, Klass klass) const;
  std::size_t Window(Lane lane) const;
  bool HasRoom(Lane lane, Time now) const;
  Span Gap(Lane lane, Work work) const;
  void Watch(Lane lane, Time now);
  void Unqueue(Request& r);
  void Unhand(Id id, Request& r);

  void Beat(Time now);
  void Check(Time now, std::vector<Decision>& out);
  void Look(Id id, Request& r, Time now, std::vector<Decision>& out, bool plan);
  void Plan(Id id, Request& r, Time now, Span wait);

  Settings settings_;
  std::vector<Span> heads_;  // by class
  Ledger ledger_;
  Running running_;
  std::vector<TeamLine> teams_;
  std::array<LaneState, kLanes> lanes_;
  std::unordered_map<Id, Request> requests_;
  Wheel checks_;
  std::deque<Id> sweep_;  // to be looked at as soon as may be: the fleet or the budgets have changed
  std::vector<std::string> said_;
  double fleet_ = 0, scale_ = 1;
  double line_rate_ = 0, line_seen_ = 0;  // how fast the line's tag moves, and where it was
  std::vector<int> priorities_;           // of first attempts lately, by class
  std::vector<double> class_off_;         // log of told work over its estimate, by class
  std::size_t waiting_ = 0;
  std::array<int, kLanes> lane_threads_{};  // of requests handed over and without a final answer
  Time beat_{}, due_{};
  bool begun_ = false;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_WAITING_LINE_H_
