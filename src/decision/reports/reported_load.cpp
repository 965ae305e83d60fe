#include "decision/reports/reported_load.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::reports {
namespace {

std::optional<std::size_t> PositionOf(ReportField field, const std::vector<ReportField>& fields) {
  const auto found = std::find(fields.begin(), fields.end(), field);
  const auto position = static_cast<std::size_t>(found - fields.begin());
  if (position >= std::min(fields.size(), kMaxReportFields)) return std::nullopt;
  return position;
}

std::optional<double> Value(const LoadReport& report, std::optional<std::size_t> position) {
  if (!position || *position >= report.count || !std::isfinite(report.values[*position])) return std::nullopt;
  return report.values[*position];
}

}  // namespace

ReportLayout ReportLayout::FromSettings(const Settings& settings) {
  ReportLayout layout;
  layout.in_responses = settings.reports_in_responses;
  if (!settings.reports_in_responses && !settings.may_probe) return layout;
  layout.inflight = PositionOf(ReportField::kInflight, settings.report_fields);
  layout.memory = PositionOf(ReportField::kX0, settings.report_fields);
  return layout;
}

bool ReportedLoad::Update(const ReportLayout& layout, const LoadReport& report, double own, Nanos now) {
  const std::optional<double> inflight = Value(report, layout.inflight);
  if (!inflight) return false;
  other_requests_ = std::max(0.0, *inflight - own);
  own_requests_ = own;
  granted_memory_ = Value(report, layout.memory);
  reported_at_ = now;
  missing_reports_ = 0;
  return true;
}

std::optional<double> ReportedLoad::GrantedMemoryShare(double own, double gateways) const {
  if (!granted_memory_) return std::nullopt;
  const double per_request = *granted_memory_ / std::max(1.0, other_requests_ + own_requests_);
  return std::max(0.0, *granted_memory_ + (own - own_requests_) * per_request * gateways);
}

}  // namespace lemoncroft::reports
