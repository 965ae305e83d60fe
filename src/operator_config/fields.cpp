#include "operator_config/fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <set>
#include <string_view>
#include <utility>

namespace lemoncroft::operator_config {

using codec::KdlNode;
using codec::KdlValue;

namespace {

// Returns the only argument of the node. Records a fault and returns null if the node has other content or
// the argument is of another kind.
const KdlValue* OnlyArgument(const KdlNode& node, KdlValue::Kind kind, const char* expected, Faults& faults) {
  const bool has_only_argument =
      node.arguments.size() == 1 && node.properties.empty() && node.children.empty();
  if (has_only_argument && node.arguments[0].kind == kind) return &node.arguments[0];
  const std::string message = node.name + ": expected " + expected;
  if (has_only_argument)
    faults.AddAt(node, node.arguments[0], message);
  else
    faults.AddAt(node, message);
  return nullptr;
}

std::string FormatNumber(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", number);
  return text;
}

// Returns the length of the unit in seconds, or zero for an unknown unit.
double SecondsPerUnit(std::string_view unit) {
  if (unit == "us") return 1e-6;
  if (unit == "ms") return 1e-3;
  if (unit == "s") return 1;
  if (unit == "m") return 60;
  if (unit == "h") return 3600;
  return 0;
}

std::string KeysOf(const NodeReaders& readers) {
  std::string keys;
  for (const auto& [key, reader] : readers) keys += (keys.empty() ? "" : ", ") + key;
  return keys;
}

}  // namespace

void Faults::AddAt(const KdlNode& node, std::string message) {
  faults_.push_back({node.position, node.name, "", std::move(message)});
}

void Faults::AddAt(const KdlNode& node, const KdlValue& value, std::string message) {
  faults_.push_back({value.position, node.name, value.text, std::move(message)});
}

bool ParseDuration(const std::string& text, admission_queue::Duration& out) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || !std::isfinite(number) || number < 0) return false;
  const std::string unit(end, text.data() + text.size());
  const double seconds = SecondsPerUnit(unit);
  out = admission_queue::FromSeconds(number * seconds);
  return seconds > 0;
}

void ReadDuration(const KdlNode& node, admission_queue::Duration min, admission_queue::Duration max,
                  admission_queue::Duration& out, Faults& faults) {
  const KdlValue* value = OnlyArgument(node, KdlValue::Kind::kString,
                                       "a time with its unit, such as \"250ms\" or \"2s\"", faults);
  if (value == nullptr) return;
  admission_queue::Duration duration{};
  if (!ParseDuration(value->text, duration))
    return faults.AddAt(node, *value,
                        node.name + ": '" + value->text + "' is not a time with a unit (us, ms, s, m, h)");
  if (duration < min || duration > max)
    return faults.AddAt(node, *value,
                        node.name + ": '" + value->text + "' is not from " +
                            FormatNumber(admission_queue::Seconds(min)) + "s to " +
                            FormatNumber(admission_queue::Seconds(max)) + "s");
  out = duration;
}

void ReadNumber(const KdlNode& node, double min, double max, double& out, Faults& faults) {
  const KdlValue* value = OnlyArgument(node, KdlValue::Kind::kNumber, "a number", faults);
  if (value == nullptr) return;
  if (!(value->number >= min && value->number <= max))
    return faults.AddAt(
        node, *value,
        node.name + ": " + value->text + " is not from " + FormatNumber(min) + " to " + FormatNumber(max));
  out = value->number;
}

void ReadCount(const KdlNode& node, double max, std::size_t& out, Faults& faults) {
  double number = static_cast<double>(out);
  ReadNumber(node, 0, max, number, faults);
  if (number != std::floor(number)) return faults.AddAt(node, node.name + ": expected a whole number");
  out = static_cast<std::size_t>(number);
}

void ReadFlag(const KdlNode& node, bool& out, Faults& faults) {
  if (const KdlValue* value = OnlyArgument(node, KdlValue::Kind::kBool, "#true or #false", faults))
    out = value->boolean;
}

void ReadText(const KdlNode& node, std::string& out, Faults& faults) {
  if (const KdlValue* value = OnlyArgument(node, KdlValue::Kind::kString, "a string", faults))
    out = value->text;
}

void ReadBlock(const std::vector<KdlNode>& nodes, const NodeReaders& readers,
               const std::vector<std::string>& repeatable, Faults& faults) {
  std::set<std::string> seen;
  for (const KdlNode& node : nodes) {
    const auto reader = readers.find(node.name);
    if (reader == readers.end()) {
      faults.AddAt(node, "'" + node.name + "' is not known here; known are " + KeysOf(readers));
      continue;
    }
    const bool is_repeated = !seen.insert(node.name).second;
    if (is_repeated && std::count(repeatable.begin(), repeatable.end(), node.name) == 0) {
      faults.AddAt(node, node.name + ": given twice");
      continue;
    }
    reader->second(node);
  }
}

}  // namespace lemoncroft::operator_config
