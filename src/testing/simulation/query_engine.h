// A stand-in for one query engine, in virtual time: sessions, memory, table groups and load reports on top of
// the shared cores of `Fleet`.
//
// An engine takes queries up to a limit of sessions. A query needs memory while it is there; where the grants
// pass what the engine has, it waits in line, gets what is left, or slows all down, and with less than it
// needs it does more work. A load holds its table group: other loads of the group, and queries of classes
// that wait for loads, stand still until it ends. A started engine grows from a part of its speed to all of
// it. Load reports are refreshed at intervals and arrive late.
//
// Deterministic; the caller's times never run backwards. What a change sets free (memory, a table group) is
// taken up by the next call, so the caller's steps should be short. Not modelled: disks, groups kept warm, a
// load that stops readers which already run.
#ifndef LEMONCROFT_TESTING_SIMULATION_QUERY_ENGINE_H_
#define LEMONCROFT_TESTING_SIMULATION_QUERY_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "lemoncroft/gateway.h"
#include "testing/simulation/fleet.h"

namespace lemoncroft::simulation {

struct EngineTraits {
  double cores = 8;
  double speed = 1;
  double memory_mb = 16384;
  std::size_t sessions = 64;
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::kTrim;
  bool honors_memory_grants = true;
  bool honors_priorities = true;
  double slow_start_initial_share = 1;  // share of its speed that it has when it starts ...
  Nanos slow_start_duration = 0;        // ... and all of it after this time
  Nanos report_every = 0;
  Nanos report_delay = 0;
  std::vector<ReportField> report_fields;
};

// What an attempt asks of an engine.
struct QueryPlan {
  Key key;
  int threads = 1;
  double work = 0;          // core-seconds
  double memory_mb = 0;     // what it needs
  double own_grant_mb = 0;  // what the engine grants it by its own choice
  double grant_mb = 0;      // what its sender grants it; 0 = the engine's own choice
  int priority = 1;
  std::uint32_t tables = 0;
  bool holds_tables = false;
  bool blocked_by_loads = false;
};

class QueryEngine {
 public:
  QueryEngine(EngineTraits traits, Nanos started_at);

  bool Start(Nanos now, const QueryPlan& plan);  // false where all sessions are taken
  bool Stop(Nanos now, const Key& key);          // false where it is not there
  void SetPriority(const Key& key, int priority);
  // Plays on to `now`; appends what ended, in order of time.
  void Advance(Nanos now, std::vector<Finished>& out);

  LoadReport Report(Nanos now) const;     // the newest one that has arrived by now; none at first
  double Progress(const Key& key) const;  // share of its work that is done
  bool idle() const { return residents_.empty(); }
  Nanos idle_since() const { return idle_since_; }  // of an idle engine

 private:
  struct Resident {
    QueryPlan plan;
    std::uint64_t turn = 0;  // order of arrival
    double granted = 0;
    double work = 0;  // with what spilling adds
    bool admitted = false;
    bool running = false;
  };
  struct Snapshot {
    Nanos at = 0;
    LoadReport report;
  };

  double Wanted(const QueryPlan& plan) const;
  double Granted() const;  // memory, of all that are admitted
  void AdmitWaiting();
  void Admit(Resident& resident);
  bool Blocked(const Resident& resident) const;
  void RunAdmitted();
  void Rearrange(Nanos now);
  double SpeedAt(Nanos now) const;
  float Value(ReportField field) const;
  void TakeSnapshots(Nanos now);

  EngineTraits traits_;
  Nanos started_at_ = 0;
  Fleet fleet_;
  std::map<Key, Resident> residents_;
  std::uint64_t turns_ = 0;
  Nanos idle_since_ = 0;
  Nanos next_snapshot_ = 0;
  std::deque<Snapshot> snapshots_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_QUERY_ENGINE_H_
