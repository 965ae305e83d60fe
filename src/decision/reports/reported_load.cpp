#include "decision/reports/reported_load.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::reports {
namespace {

std::optional<std::size_t> PlaceOf(ReportField field, const std::vector<ReportField>& fields) {
  const auto found = std::find(fields.begin(), fields.end(), field);
  const auto place = static_cast<std::size_t>(found - fields.begin());
  if (place >= std::min(fields.size(), kMaxReportFields)) return std::nullopt;
  return place;
}

std::optional<double> Value(const LoadReport& report, std::optional<std::size_t> place) {
  if (!place || *place >= report.count || !std::isfinite(report.values[*place])) return std::nullopt;
  return report.values[*place];
}

}  // namespace

Promise Promise::Of(const Settings& settings) {
  Promise promise;
  promise.in_answers = settings.reports_in_answers;
  if (!settings.reports_in_answers && !settings.may_probe) return promise;
  promise.inflight = PlaceOf(ReportField::kInflight, settings.report_fields);
  promise.memory = PlaceOf(ReportField::kX0, settings.report_fields);
  return promise;
}

bool ReportedLoad::Take(const Promise& promise, const LoadReport& report, double own, Nanos now) {
  const std::optional<double> inflight = Value(report, promise.inflight);
  if (!inflight) return false;
  others_ = std::max(0.0, *inflight - own);
  own_ = own;
  memory_ = Value(report, promise.memory);
  at_ = now;
  missed_ = 0;
  return true;
}

std::optional<double> ReportedLoad::MemoryGranted(double own, double gateways) const {
  if (!memory_) return std::nullopt;
  const double each = *memory_ / std::max(1.0, others_ + own_);
  return std::max(0.0, *memory_ + (own - own_) * each * gateways);
}

}  // namespace lemoncroft::reports
