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
  AppendMetric(text, std::string(prefix).append(names::kServedSuffix), counts.ok);
  AppendMetric(text, std::string(prefix).append(names::kRejectedSuffix), counts.shed);
  AppendMetric(text, std::string(prefix).append(names::kFailedSuffix), counts.errors);
}

}  // namespace

void Counters::CountEnded(const std::string& class_id, End how) {
  ClassCounts& counts = CountsOf(class_id);
  switch (how) {
    case End::kOk:
      ++counts.ok;
      break;
    case End::kShed:
      ++counts.shed;
      break;
    case End::kError:
      ++counts.errors;
      break;
    case End::kWithdrawn:
      ++counts.withdrawn;
      break;
  }
}

void Counters::CountReload(ReloadResult result) {
  ++(result == ReloadResult::kApplied ? reloads_applied_ : reloads_rejected_);
}

ClassCounts& Counters::CountsOf(const std::string& class_id) {
  const auto it = classes_.find(class_id);
  if (it != classes_.end()) return it->second;
  return classes_.size() < kMaxClasses ? classes_[class_id] : unlisted_classes_;
}

std::string Counters::Text(const Gauges& gauges) const {
  std::string text;
  for (const auto& [name, counts] : classes_) AppendClass(text, name, counts);
  AppendMetric(text, names::kAttempts, attempts_);
  AppendMetric(text, names::kActiveRequests, gauges.active);
  AppendMetric(text, names::kListedEngines, gauges.pool_size);
  AppendMetric(text, names::kEjectedEngines, gauges.pool_ejected);
  AppendMetric(text, names::kReloadsApplied, reloads_applied_);
  AppendMetric(text, names::kReloadsRejected, reloads_rejected_);
  for (const auto& [name, value] : gauges.additional) AppendMetric(text, name, value);
  return text.append(names::kEndLine).append("\n");
}

}  // namespace lemoncroft::metrics
