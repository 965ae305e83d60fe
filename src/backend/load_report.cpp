#include "backend/load_report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace lemoncroft::backend {
namespace {

constexpr float kMissing = std::numeric_limits<float>::quiet_NaN();

std::string_view Trim(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

// Parses a finite, non-negative value that a float can represent. Returns nothing for other texts.
std::optional<float> ParseValue(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  const bool usable = std::isfinite(value) && value >= 0 && value <= std::numeric_limits<float>::max();
  if (!usable) return std::nullopt;
  return static_cast<float>(value);
}

// Removes the text up to the next semicolon, and the semicolon, from the front of `rest`. Returns the text.
std::string_view TakeItem(std::string_view& rest) {
  const std::size_t end = std::min(rest.find(';'), rest.size());
  const std::string_view item = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return item;
}

}  // namespace

LoadReport ParseLoadReport(std::string_view text, const std::vector<std::string>& names) {
  LoadReport report;
  report.values.fill(kMissing);
  const std::size_t field_count = std::min(names.size(), kMaxReportFields);
  bool has_value = false;
  while (!text.empty()) {
    const std::string_view item = TakeItem(text);
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) continue;
    const std::string_view name = Trim(item.substr(0, colon));
    const auto found =
        std::find(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(field_count), name);
    const auto index = static_cast<std::size_t>(found - names.begin());
    const std::optional<float> value = ParseValue(Trim(item.substr(colon + 1)));
    if (index >= field_count || !value) continue;
    report.values[index] = *value;
    has_value = true;
  }
  report.count = has_value ? static_cast<std::uint8_t>(field_count) : 0;
  return report;
}

}  // namespace lemoncroft::backend
