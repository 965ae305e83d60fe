// Sites of many shapes: settings of a deployment and the fleet of engines behind it, drawn so that every pair
// of values of two dimensions appears in at least one site (pairwise testing).
//
// Deterministic for a seed. A shape chooses one value of each dimension. `BuildSite` derives from it the
// decision module's settings and the behaviour of the simulated engines and clients.
#ifndef LEMONCROFT_TESTING_SIMULATION_SITE_SHAPES_H_
#define LEMONCROFT_TESTING_SIMULATION_SITE_SHAPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lemoncroft/gateway.h"
#include "testing/simulation/query_engine.h"

namespace lemoncroft::simulation {

enum class Dimension : std::size_t {
  kMix,
  kMarkedClass,
  kOrdering,
  kEffect,
  kRepeatGroup,
  kPlacement,
  kLoads,
  kRetryBudget,
  kHedging,
  kRetryAfter,
  kAttempts,
  kReports,
  kReportFields,
  kEstimates,
  kCosts,
  kMemoryShortage,
  kGrants,
  kPriorities,
  kProbes,
  kCancel,
  kProgressNotices,
  kTenants,
  kZones,
  kEngines,
  kGateways,
  kCount
};
inline constexpr std::size_t kDimensions = static_cast<std::size_t>(Dimension::kCount);

struct DimensionInfo {
  std::string_view name;
  std::vector<std::string_view> values;
};
const DimensionInfo& Info(Dimension dimension);

class SiteShape {
 public:
  std::size_t at(Dimension dimension) const { return values_[static_cast<std::size_t>(dimension)]; }
  void Set(Dimension dimension, std::size_t value) { values_[static_cast<std::size_t>(dimension)] = value; }
  std::string_view value(Dimension dimension) const { return Info(dimension).values.at(at(dimension)); }
  // Throws std::out_of_range if the dimension has no such value.
  bool Is(Dimension dimension, std::string_view value) const;
  std::string Describe() const;  // all dimensions with their values, on one line

 private:
  std::array<std::size_t, kDimensions> values_{};
};

// Returns shapes that together contain every pair of values of every two dimensions.
std::vector<SiteShape> DrawPairwise(std::uint64_t seed);

// The properties of a class's queries that are not in the settings.
struct ClassTraffic {
  double share = 1;        // of all requests
  double work = 0.1;       // mean, core-seconds
  double memory_mb = 256;  // mean
  double work_bias = 1;    // ratio of the class's rough estimates to the actual work
  double memory_bias = 1;  // likewise, of the memory
};

enum class ReportDelivery { kNone, kResponses, kProbesOnly, kNever, kStops };
enum class EstimateQuality { kGood, kRough, kNone };

struct Site {
  SiteShape shape;
  Settings settings;  // of gateway 0; the others differ in `gateway_index` and `zone`
  std::vector<EngineEntry> engines;
  std::vector<EngineTraits> traits;  // of each engine
  std::vector<ClassTraffic> traffic;
  std::vector<std::vector<EngineId>> allowed_engines;  // for each class, by its placement
  double request_rate = 0;                             // requests per second, sum of all gateways
  std::uint64_t ordering_keys = 1;                     // number of ordering keys of the classes in order
  ReportDelivery report_delivery = ReportDelivery::kNone;
  EstimateQuality estimate_quality = EstimateQuality::kGood;
  bool cancel_stops_work = true;
  std::optional<std::size_t> restarted_engine;  // the engine that drains and restarts cold during the day
};

// `load` is the utilization of the busiest engine's cores if each class is spread over the engines that its
// placement allows in proportion to their cores.
Site BuildSite(const SiteShape& shape, double load, std::uint64_t seed);

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_SITE_SHAPES_H_
