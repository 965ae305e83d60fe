// Value types that settings, events and actions of the decision module share: time, ids, engines of the
// endpoint list, outcomes of attempts, load reports.
//
// Contract. Plain values without behaviour; times are nanoseconds of the module's clock. Errors: none.
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

// What a second execution of a request does: nothing (safe), nothing within the repeat window of its
// idempotency key (keyed), or harm (unsafe).
enum class Effect { kSafe, kKeyed, kUnsafe };
// The engines that recognise a repeated idempotency key: all, those of one zone, or those of one cell.
enum class RepeatGroup { kAll, kZone, kCell };
// What an engine does with a query whose memory grant is too small.
enum class MemoryShortagePolicy { kQueue, kTrim, kSwap };
enum class ReportField { kInflight, kQueue, kUtil, kLatencyMs, kQps, kEps, kX0, kX1, kOther };

// kExcluded: manually ejected by an operator; like draining, until the operator includes it again.
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

// How an attempt ended. kLost: it may have run, but its response was lost or corrupted on the way although
// the engine is alive. kNotSent: it surely did not run, for no fault of the engine; it never left this
// process, or its time was over before the engine would have begun.
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent, kLost };

inline constexpr std::size_t kMaxReportFields = 4;

// An engine's own figures, in the order of Settings::report_fields; NaN where one is missing.
struct LoadReport {
  std::uint8_t count = 0;  // of the values; 0 = no report
  std::array<float, kMaxReportFields> values{};
};

}  // namespace lemoncroft

#endif  // LEMONCROFT_TYPES_H_
