// What is wrong or doubtful in a site's settings: values out of range, values that contradict each other, and
// keys that nothing reads.
//
// Contract. No I/O, no clock. Owner: none. Source: docs/settings.md, which has a row for each key.
#ifndef LEMONCROFT_SETTINGS_CHECK_H_
#define LEMONCROFT_SETTINGS_CHECK_H_

#include <string>
#include <vector>

#include "settings/settings.h"

namespace lemoncroft::settings {

enum class Severity {
  kWarning,  // all is served; something is without effect, or another value than the one told is used
  kError,    // refused where other settings are in force; a start, which has none, serves what can be served
  kFatal,    // no request could be served: refused by a start as well
};

struct Finding {
  Severity severity = Severity::kWarning;
  std::string text;  // one plain line that names the key

  bool operator==(const Finding&) const = default;
};

// Findings of settings that ParseSite has read, the worst first and else in the order of the settings' page.
std::vector<Finding> Check(const Pairs& in, const Site& site);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_CHECK_H_
