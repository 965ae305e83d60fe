#include "reports/reported_load.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::reports {

Promise Promise::Of(const Settings& settings) {
  Promise promise;
  promise.in_answers = settings.reports_in_answers;
  if (!settings.reports_in_answers && !settings.may_probe) return promise;
  const auto& fields = settings.report_fields;
  const auto inflight = std::find(fields.begin(), fields.end(), ReportField::kInflight);
  const auto place = static_cast<std::size_t>(inflight - fields.begin());
  if (place < std::min(fields.size(), kReportFieldsMost)) promise.inflight = place;
  return promise;
}

bool ReportedLoad::Take(const Promise& promise, const LoadReport& report, double own, Nanos now) {
  if (!promise.inflight || *promise.inflight >= report.count) return false;
  const float inflight = report.values[*promise.inflight];
  if (!std::isfinite(inflight)) return false;
  others_ = std::max(0.0, static_cast<double>(inflight) - own);
  at_ = now;
  missed_ = 0;
  return true;
}

}  // namespace lemoncroft::reports
