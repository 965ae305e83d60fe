// Simulates one query engine in virtual time: sessions, memory, table groups and load reports, in addition to
// the shared cores of `Fleet`.
//
// An engine accepts queries up to a limit of sessions. A query occupies memory while it is on the engine. If
// the memory grants exceed the engine's memory, then, depending on the engine's policy, the query waits in a
// queue, gets the memory that is left, or all queries slow down. A query whose grant is less than it needs
// does more work. A load holds its table group: other loads of the group, and queries of classes that loads
// block, do not run until it ends. A started engine ramps up from a fraction of its speed to its full speed.
// Load reports are refreshed at intervals and arrive late.
//
// Deterministic. The caller's times must never decrease. Resources that a change releases (memory, a table
// group) are reassigned in the next call, so the caller's steps should be short. Disks, warm table groups,
// and loads that stop readers which already run are not modelled.
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
  std::size_t max_sessions = 64;
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::kTrim;
  bool honors_memory_grants = true;
  bool honors_priorities = true;
  double slow_start_initial_share = 1;  // share of `speed` at the start
  Nanos slow_start_duration = 0;        // time from the start until the engine has its full speed
  Nanos report_interval = 0;
  Nanos report_delay = 0;
  std::vector<ReportField> report_fields;
};

// The resources that an attempt needs on an engine.
struct QueryPlan {
  AttemptKey key;
  int threads = 1;
  double work = 0;          // core-seconds
  double memory_mb = 0;     // that the query needs
  double own_grant_mb = 0;  // that the engine grants by its own estimate
  double grant_mb = 0;      // that the sender grants; 0: own_grant_mb applies
  int priority = 1;
  std::uint32_t table_group = 0;
  bool holds_tables = false;
  bool blocked_by_loads = false;
};

class QueryEngine {
 public:
  QueryEngine(EngineTraits traits, Nanos started_at);

  bool Start(Nanos now, const QueryPlan& plan);  // false if all sessions are in use
  bool Stop(Nanos now, const AttemptKey& key);   // false if the attempt is not on the engine
  void SetPriority(const AttemptKey& key, int priority);
  // Advances to `now` and appends the attempts that finished, in order of time.
  void Advance(Nanos now, std::vector<FinishedAttempt>& out);

  LoadReport Report(Nanos now) const;            // the newest report that has arrived; empty before the first
  double Progress(const AttemptKey& key) const;  // completed share of the attempt's work
  bool idle() const { return active_queries_.empty(); }
  Nanos idle_since() const { return idle_since_; }  // valid only while the engine is idle

 private:
  struct ActiveQuery {
    QueryPlan plan;
    std::uint64_t arrival_order = 0;
    double granted = 0;
    double work = 0;  // core-seconds, including the additional work of spilling
    bool admitted = false;
    bool running = false;
  };
  struct Snapshot {
    Nanos at = 0;
    LoadReport report;
  };

  double RequestedMemory(const QueryPlan& plan) const;
  double GrantedMemory() const;  // memory granted to all admitted queries
  void AdmitWaiting();
  void Admit(ActiveQuery& query);
  bool Blocked(const ActiveQuery& query) const;
  void RunAdmitted();
  void ReassignResources(Nanos now);
  double SpeedAt(Nanos now) const;
  float ValueOf(ReportField field) const;
  void TakeSnapshots(Nanos now);

  EngineTraits traits_;
  Nanos started_at_ = 0;
  Fleet fleet_;
  std::map<AttemptKey, ActiveQuery> active_queries_;
  std::uint64_t next_arrival_order_ = 0;
  Nanos idle_since_ = 0;
  Nanos next_snapshot_ = 0;
  std::deque<Snapshot> snapshots_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_QUERY_ENGINE_H_
