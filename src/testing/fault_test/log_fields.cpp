#include "testing/fault_test/log_fields.h"

#include <charconv>
#include <chrono>

namespace lemoncroft::fault_test {

std::string LogField(std::string_view line, std::string_view name) {
  const std::string key = " " + std::string(name) + "=";
  const std::size_t at = line.find(key);
  if (at == std::string_view::npos) return {};
  const std::size_t from = at + key.size();
  return std::string(line.substr(from, line.find_first_of(" \n", from) - from));
}

std::uint64_t LeadingNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

runtime::Time LogTime(std::string_view line) {
  return runtime::Time(std::chrono::microseconds(LeadingNumber(LogField(line, "mono_us"))));
}

}  // namespace lemoncroft::fault_test
