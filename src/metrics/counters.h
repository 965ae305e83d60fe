// The figures of this process since its start, told to operators. Each count is made once, by whoever ends
// the thing that is counted; what is told is read at the time of the call.
//
// For each class: taken = ok + shed + errors + withdrawn + open. No I/O, no clock.
#ifndef LEMONCROFT_TELEMETRY_COUNTERS_H_
#define LEMONCROFT_TELEMETRY_COUNTERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lemoncroft::metrics {

// How a request ended; withdrawn: nobody was there any more to hear the answer.
enum class End { kOk, kShed, kError, kWithdrawn };

struct OfClass {
  std::uint64_t taken = 0, ok = 0, shed = 0, errors = 0, withdrawn = 0;
  std::uint64_t ended() const { return ok + shed + errors + withdrawn; }
};

// What is not counted but read.
struct Gauges {
  std::size_t active = 0;        // requests taken and not ended
  std::size_t pool_size = 0;     // engines listed
  std::size_t pool_ejected = 0;  // of these, those that are avoided, by hand or by choice
  std::vector<std::pair<std::string, std::uint64_t>> more;  // of parts that are switched on
};

class Counters {
 public:
  static constexpr std::size_t kMaxClasses = 4096;  // names kept; requests of further ones aren't told

  // So that its figures are told before its first request; those of a class that has vanished stay.
  void Know(const std::string& class_id) { Of(class_id); }
  void Taken(const std::string& class_id) { ++Of(class_id).taken; }
  void Ended(const std::string& class_id, End how);
  void Tried() { ++tries_; }  // an attempt's statement was written whole to an engine
  void Reloaded(bool applied) { ++(applied ? applied_ : rejected_); }

  const std::map<std::string, OfClass>& classes() const { return classes_; }
  std::uint64_t tries() const { return tries_; }

  // A line NAME=VALUE for each figure, then the line `--`.
  std::string Text(const Gauges& gauges) const;

 private:
  OfClass& Of(const std::string& class_id);

  std::map<std::string, OfClass> classes_;
  OfClass further_;
  std::uint64_t tries_ = 0, applied_ = 0, rejected_ = 0;
};

}  // namespace lemoncroft::metrics

#endif  // LEMONCROFT_TELEMETRY_COUNTERS_H_
