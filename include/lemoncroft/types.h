// Value types shared by the settings, events and actions of the decision module: time, ids, engines of the
// endpoint list, outcomes of attempts, load reports. Times are nanoseconds of the module's clock.
#ifndef LEMONCROFT_TYPES_H_
#define LEMONCROFT_TYPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace lemoncroft {

using Nanos = std::int64_t;  // a point in time or a duration, in nanoseconds
inline constexpr Nanos kNoLimit = std::numeric_limits<Nanos>::max();
using RequestId = std::uint64_t;
using EngineId = std::uint32_t;
// The tenant of a request on a site without tenants.
inline constexpr std::uint16_t kNoTenant = std::numeric_limits<std::uint16_t>::max();

// The effect of a second execution of a request: none (kSafe), none within the repeat window of its
// idempotency key (kKeyed), or harm (kUnsafe).
enum class Effect { kSafe, kKeyed, kUnsafe };
// The engines that recognise a repeated idempotency key: all engines, those of one zone, or those of one
// cell.
enum class RepeatGroup { kAll, kZone, kCell };
// What an engine does with a query whose memory grant is too small.
enum class MemoryShortagePolicy { kQueue, kTrim, kSwap };
// The fields of a load report. The module reads kInflight, the number of requests in flight, and kX0, the
// share of the engine's memory that is granted.
enum class ReportField { kInflight, kQueue, kUtil, kLatencyMs, kQps, kEps, kX0, kX1, kOther };

// kExcluded: ejected manually by an operator, and treated like a draining engine until the operator includes
// it again.
enum class Readiness { kReady, kDraining, kExcluded, kRemoved };

// One engine of the endpoint list.
struct EngineEntry {
  EngineId engine = 0;
  double weight = 1;
  Readiness readiness = Readiness::kReady;
  std::uint16_t kind = 0;  // index into Settings::kinds
  std::uint16_t cell = 0;
  std::uint16_t zone = 0;
  Nanos started_at = 0;  // 0 = long ago
};

// The outcome of an attempt. kLost: the attempt may have run, but its response was lost or corrupted on the
// way, although the engine is alive. kNotSent: the attempt certainly did not run, through no fault of the
// engine: it never left this process, or the engine dropped it as expired before starting it.
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent, kLost };

// Returns true if an engine may have executed the statement of an attempt with this outcome.
constexpr bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kFull && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
}

// Returns true if an engine may still be running an attempt with this outcome. The attempt's ordering key, if
// it has one, is then paused.
constexpr bool MayStillRun(Outcome outcome) {
  return MayHaveRun(outcome) && outcome != Outcome::kOk && outcome != Outcome::kError;
}

inline constexpr std::size_t kMaxReportFields = 4;

// The load figures that an engine reports about itself, in the order of Settings::report_fields. A missing
// figure is NaN.
struct LoadReport {
  std::uint8_t count = 0;  // number of values; 0 = no report
  std::array<float, kMaxReportFields> values{};
};

}  // namespace lemoncroft

#endif  // LEMONCROFT_TYPES_H_
