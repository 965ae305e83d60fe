// The counters of this process since its start, and their text for operators.
//
// Contract. No I/O, no clock. Each event is counted once, by the module that ends what is counted: requests
// by the broker, or by the clients' side if the broker never sees them; attempts by the back end; reloads by
// the wiring in src/proxy/. Gauges are read at the time of the call. For each class: received = ok + shed +
// errors + withdrawn + open.
//
// Owner: the wiring in src/proxy/. Thread: the event loop's.
#ifndef LEMONCROFT_METRICS_COUNTERS_H_
#define LEMONCROFT_METRICS_COUNTERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lemoncroft::metrics {

// How a request ended.
enum class End {
  kOk,
  kShed,       // rejected
  kError,      // failed
  kWithdrawn,  // cancelled, or its client was gone: nobody got a response
};

enum class ReloadResult { kApplied, kRejected };

struct ClassCounts {
  std::uint64_t received = 0, ok = 0, shed = 0, errors = 0, withdrawn = 0;
  std::uint64_t ended() const { return ok + shed + errors + withdrawn; }
};

// Values that are read rather than counted.
struct Gauges {
  std::size_t active = 0;        // requests received and not ended
  std::size_t pool_size = 0;     // engines listed
  std::size_t pool_ejected = 0;  // of these, those that are ejected, manually or as outliers
  std::vector<std::pair<std::string, std::uint64_t>> additional;  // names and values of optional parts
};

class Counters {
 public:
  // Names that are kept; requests of further classes are counted together and not listed.
  static constexpr std::size_t kMaxClasses = 4096;

  // Lists a class before its first request. Classes stay listed when they are removed from the settings.
  void AddClass(const std::string& class_id) { CountsOf(class_id); }
  void CountReceived(const std::string& class_id) { ++CountsOf(class_id).received; }
  void CountEnded(const std::string& class_id, End how);
  // An attempt's statement has been written completely to an engine.
  void CountAttempt() { ++attempts_; }
  void CountReload(ReloadResult result);

  const std::map<std::string, ClassCounts>& classes() const { return classes_; }
  std::uint64_t attempts() const { return attempts_; }

  // A line NAME=VALUE for each metric (metric_names.h), then the line `--`.
  std::string Text(const Gauges& gauges) const;

 private:
  ClassCounts& CountsOf(const std::string& class_id);

  std::map<std::string, ClassCounts> classes_;
  ClassCounts unlisted_classes_;
  std::uint64_t attempts_ = 0;
  std::uint64_t reloads_applied_ = 0, reloads_rejected_ = 0;
};

}  // namespace lemoncroft::metrics

#endif  // LEMONCROFT_METRICS_COUNTERS_H_
