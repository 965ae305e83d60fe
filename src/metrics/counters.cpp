#include "metrics/counters.h"

#include <string_view>

#include "metrics/metric_names.h"

namespace lemoncroft::metrics {
namespace {

void AppendMetric(std::string& text, std::string_view name, std::uint64_t value) {
  text.append(names::kPrefix).append(name).append("=").append(std::to_string(value)).append("\n");
}

void AppendClass(std::string& text, std::string_view class_name, const ClassCounts& counts) {
  const std::string prefix = std::string(names::kResponsesPrefix).append(class_name);
  AppendMetric(text, std::string(prefix).append(names::kServedSuffix), counts.served);
  AppendMetric(text, std::string(prefix).append(names::kRejectedSuffix), counts.rejected);
  AppendMetric(text, std::string(prefix).append(names::kFailedSuffix), counts.failed);
}

}  // namespace

void Counters::CountEnded(const std::string& class_name, RequestResult result) {
  ClassCounts& counts = CountsOf(class_name);
  switch (result) {
    case RequestResult::kServed:
      ++counts.served;
      break;
    case RequestResult::kRejected:
      ++counts.rejected;
      break;
    case RequestResult::kFailed:
      ++counts.failed;
      break;
    case RequestResult::kCancelled:
      ++counts.cancelled;
      break;
  }
}

void Counters::CountReload(ReloadResult result) {
  ++(result == ReloadResult::kApplied ? reloads_applied_ : reloads_rejected_);
}

ClassCounts& Counters::CountsOf(const std::string& class_name) {
  const auto it = classes_.find(class_name);
  if (it != classes_.end()) return it->second;
  return classes_.size() < kMaxClasses ? classes_[class_name] : unlisted_classes_;
}

std::string Counters::Text(const Gauges& gauges) const {
  std::string text;
  for (const auto& [name, counts] : classes_) AppendClass(text, name, counts);
  AppendMetric(text, names::kAttempts, attempts_);
  AppendMetric(text, names::kOpenRequests, gauges.open_requests);
  AppendMetric(text, names::kListedEngines, gauges.listed_engines);
  AppendMetric(text, names::kEjectedEngines, gauges.ejected_engines);
  AppendMetric(text, names::kReloadsApplied, reloads_applied_);
  AppendMetric(text, names::kReloadsRejected, reloads_rejected_);
  for (const auto& [name, value] : gauges.additional_metrics) AppendMetric(text, name, value);
  return text.append(names::kEndLine).append("\n");
}

}  // namespace lemoncroft::metrics
