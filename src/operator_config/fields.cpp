#include "operator_config/fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <set>

namespace lemoncroft::operator_config {

using codec::KdlNode;
using codec::KdlValue;

namespace {

const KdlValue* Only(const KdlNode& node, KdlValue::Kind kind, const char* wanted, Faults& faults) {
  const bool one = node.arguments.size() == 1 && node.properties.empty() && node.children.empty();
  if (one && node.arguments[0].kind == kind) return &node.arguments[0];
  faults.Add(one ? node.arguments[0].place : node.place, node.name + ": expected " + wanted);
  return nullptr;
}

std::string Written(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", number);
  return text;
}

}  // namespace

bool ParseSpan(const std::string& text, admission_queue::Span& out) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || !std::isfinite(number) || number < 0) return false;
  const std::string unit(end, text.data() + text.size());
  const double seconds = unit == "us"   ? 1e-6
                         : unit == "ms" ? 1e-3
                         : unit == "s"  ? 1
                         : unit == "m"  ? 60
                         : unit == "h"  ? 3600
                                        : 0;
  out = admission_queue::FromSeconds(number * seconds);
  return seconds > 0;
}

void ReadSpan(const KdlNode& node, admission_queue::Span least, admission_queue::Span most,
              admission_queue::Span& out, Faults& faults) {
  const KdlValue* value =
      Only(node, KdlValue::Kind::kText, "a time with its unit, such as \"250ms\" or \"2s\"", faults);
  if (value == nullptr) return;
  admission_queue::Span span{};
  if (!ParseSpan(value->text, span))
    return faults.Add(value->place,
                      node.name + ": '" + value->text + "' is no time with a unit (us, ms, s, m, h)");
  if (span < least || span > most)
    return faults.Add(value->place, node.name + ": '" + value->text + "' is not from " +
                                        Written(admission_queue::Seconds(least)) + "s to " +
                                        Written(admission_queue::Seconds(most)) + "s");
  out = span;
}

void ReadNumber(const KdlNode& node, double least, double most, double& out, Faults& faults) {
  const KdlValue* value = Only(node, KdlValue::Kind::kNumber, "a number", faults);
  if (value == nullptr) return;
  if (!(value->number >= least && value->number <= most))
    return faults.Add(value->place, node.name + ": " + value->text + " is not from " + Written(least) +
                                        " to " + Written(most));
  out = value->number;
}

void ReadCount(const KdlNode& node, double most, std::size_t& out, Faults& faults) {
  double number = static_cast<double>(out);
  ReadNumber(node, 0, most, number, faults);
  if (number != std::floor(number)) return faults.Add(node.place, node.name + ": expected a whole number");
  out = static_cast<std::size_t>(number);
}

void ReadFlag(const KdlNode& node, bool& out, Faults& faults) {
  if (const KdlValue* value = Only(node, KdlValue::Kind::kBool, "#true or #false", faults))
    out = value->boolean;
}

void ReadText(const KdlNode& node, std::string& out, Faults& faults) {
  if (const KdlValue* value = Only(node, KdlValue::Kind::kText, "a text", faults)) out = value->text;
}

void ReadBlock(const std::vector<KdlNode>& nodes, const Known& known, const std::vector<std::string>& many,
               Faults& faults) {
  std::set<std::string> seen;
  for (const KdlNode& node : nodes) {
    const auto it = known.find(node.name);
    if (it == known.end()) {
      std::string names;
      for (const auto& [name, read] : known) names += (names.empty() ? "" : ", ") + name;
      faults.Add(node.place, "'" + node.name + "' is not known here; known are " + names);
      continue;
    }
    const bool again = !seen.insert(node.name).second;
    if (again && std::count(many.begin(), many.end(), node.name) == 0) {
      faults.Add(node.place, node.name + ": given twice");
      continue;
    }
    it->second(node);
  }
}

}  // namespace lemoncroft::operator_config
