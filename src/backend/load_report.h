// Parses the load reports that engines send in a header, such as `inflight:7;util:0.61`.
#ifndef LEMONCROFT_BACKEND_LOAD_REPORT_H_
#define LEMONCROFT_BACKEND_LOAD_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::backend {

// Returns the values of the fields that `names` lists, in that order. Fields that are not listed are skipped.
// A value that is missing, negative or not a number is NaN in the report. If the text has no usable value,
// the report is empty (count 0). Names after the first kMaxReportFields are ignored. Pure function.
LoadReport ParseLoadReport(std::string_view text, const std::vector<std::string>& names);

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_LOAD_REPORT_H_
