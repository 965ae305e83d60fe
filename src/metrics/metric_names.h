// The names of the proxy's own metrics, as `telemetry` lists them. Monitoring systems read them, so they must
// not change.
//
// Optional modules provide their own names (Gauges::additional_metrics).
#ifndef LEMONCROFT_METRICS_METRIC_NAMES_H_
#define LEMONCROFT_METRICS_METRIC_NAMES_H_

#include <string_view>

namespace lemoncroft::metrics::names {

inline constexpr std::string_view kPrefix = "app.";  // of every line
inline constexpr std::string_view kEndLine = "--";   // follows the last metric

// By request class: responses.CLASS.ok and so on.
inline constexpr std::string_view kResponsesPrefix = "responses.";
inline constexpr std::string_view kServedSuffix = ".ok";
inline constexpr std::string_view kRejectedSuffix = ".shed";
inline constexpr std::string_view kFailedSuffix = ".errors";

inline constexpr std::string_view kAttempts = "tries";
inline constexpr std::string_view kOpenRequests = "active";
inline constexpr std::string_view kListedEngines = "pool_size";
inline constexpr std::string_view kEjectedEngines = "pool_ejected";
inline constexpr std::string_view kReloadsApplied = "config_applied";
inline constexpr std::string_view kReloadsRejected = "config_rejected";

}  // namespace lemoncroft::metrics::names

#endif  // LEMONCROFT_METRICS_METRIC_NAMES_H_
