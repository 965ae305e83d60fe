// Load reports as engines write them into the header X-Gauges: `inflight:7;util:0.61`.
#ifndef LEMONCROFT_BACKEND_LOAD_REPORT_H_
#define LEMONCROFT_BACKEND_LOAD_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::backend {

// Reads the values that `names` lists, in that order. Names that are not listed are skipped; a value that is
// missing, negative or no number is NaN. Without one usable value there is no report: its count is 0.
// Only the first kReportFieldsMost of `names` count.
LoadReport ParseLoadReport(std::string_view gauges, const std::vector<std::string>& names);

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_LOAD_REPORT_H_
