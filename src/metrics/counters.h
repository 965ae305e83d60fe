// The counters of this process since its start, and their text for operators.
//
// Each event is counted once: requests by the broker, or by the front end if they are never submitted to the
// broker; attempts by the back end; reloads by src/proxy/, which owns the counters. For each class,
// received = served + rejected + failed + cancelled + open.
//
// Without I/O and clock. Not thread-safe; used on the event loop's thread.
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
enum class RequestResult {
  kServed,
  kRejected,
  kFailed,
  kCancelled,  // by its client, or because the client disconnected; no client got a response
};

enum class ReloadResult { kApplied, kRejected };

struct ClassCounts {
  std::uint64_t received = 0, served = 0, rejected = 0, failed = 0, cancelled = 0;
  std::uint64_t ended() const { return served + rejected + failed + cancelled; }
};

// Current values, which are read at the time of the call rather than counted.
struct Gauges {
  std::size_t open_requests = 0;    // requests received and not ended
  std::size_t listed_engines = 0;   // engines on the endpoint list
  std::size_t ejected_engines = 0;  // those of them that are ejected, manually or as outliers
  // Names and values of the metrics of optional modules.
  std::vector<std::pair<std::string, std::uint64_t>> additional_metrics;
};

class Counters {
 public:
  // Maximum number of classes with counters of their own. Requests of further classes are counted together
  // and not listed.
  static constexpr std::size_t kMaxClasses = 4096;

  // Lists a class before its first request. A class stays listed after it is removed from the settings.
  void AddClass(const std::string& class_name) { CountsOf(class_name); }
  void CountReceived(const std::string& class_name) { ++CountsOf(class_name).received; }
  void CountEnded(const std::string& class_name, RequestResult result);
  // Counts an attempt whose statement has been written completely to an engine.
  void CountAttempt() { ++attempts_; }
  void CountReload(ReloadResult result);

  const std::map<std::string, ClassCounts>& classes() const { return classes_; }
  std::uint64_t attempts() const { return attempts_; }

  // Returns a line NAME=VALUE for each metric (metric_names.h), followed by the line `--`.
  std::string Text(const Gauges& gauges) const;

 private:
  ClassCounts& CountsOf(const std::string& class_name);

  std::map<std::string, ClassCounts> classes_;
  ClassCounts unlisted_classes_;
  std::uint64_t attempts_ = 0;
  std::uint64_t reloads_applied_ = 0, reloads_rejected_ = 0;
};

}  // namespace lemoncroft::metrics

#endif  // LEMONCROFT_METRICS_COUNTERS_H_
