#include "metrics/counters.h"

namespace lemoncroft::metrics {

void Counters::Ended(const std::string& class_id, End how) {
  OfClass& of = Of(class_id);
  switch (how) {
    case End::kOk:
      ++of.ok;
      break;
    case End::kShed:
      ++of.shed;
      break;
    case End::kError:
      ++of.errors;
      break;
    case End::kWithdrawn:
      ++of.withdrawn;
      break;
  }
}

OfClass& Counters::Of(const std::string& class_id) {
  const auto it = classes_.find(class_id);
  if (it != classes_.end()) return it->second;
  return classes_.size() < kMaxClasses ? classes_[class_id] : further_;
}

std::string Counters::Text(const Gauges& gauges) const {
  std::string text;
  const auto line = [&text](const std::string& name, std::uint64_t value) {
    text += "app." + name + "=" + std::to_string(value) + "\n";
  };
  for (const auto& [name, of] : classes_) {
    line("responses." + name + ".ok", of.ok);
    line("responses." + name + ".shed", of.shed);
    line("responses." + name + ".errors", of.errors);
  }
  line("tries", tries_);
  line("active", gauges.active);
  line("pool_size", gauges.pool_size);
  line("pool_ejected", gauges.pool_ejected);
  line("config_applied", applied_);
  line("config_rejected", rejected_);
  for (const auto& [name, value] : gauges.more) line(name, value);
  return text + "--\n";
}

}  // namespace lemoncroft::metrics
