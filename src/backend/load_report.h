// Parses the load reports that engines write into a header: `inflight:7;util:0.61`.
//
// Pure function without I/O or state.
#ifndef LEMONCROFT_BACKEND_LOAD_REPORT_H_
#define LEMONCROFT_BACKEND_LOAD_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::backend {

// Parses the values that `names` lists, in that order. Names that are not listed are skipped; a value that is
// missing, negative or not a number is NaN. A text without a usable value gives an empty report (count 0).
// Names after the first kMaxReportFields are ignored.
LoadReport ParseLoadReport(std::string_view text, const std::vector<std::string>& names);

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_LOAD_REPORT_H_
