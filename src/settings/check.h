// Checks a site's settings for values out of range, contradictions between values, and unknown keys.
//
// Contract. No I/O, no clock. Owner: none. docs/settings.md has a row for each key.
#ifndef LEMONCROFT_SETTINGS_CHECK_H_
#define LEMONCROFT_SETTINGS_CHECK_H_

#include <string>
#include <vector>

#include "settings/settings.h"

namespace lemoncroft::settings {

enum class Severity {
  kWarning,  // all classes are served; a value has no effect or another one is used in its place
  kError,    // a reload refuses the settings; a start serves the classes that can be served
  kFatal,    // no class can be served: a start refuses the settings too
};

struct Finding {
  Severity severity = Severity::kWarning;
  std::string text;  // one line that names the key

  bool operator==(const Finding&) const = default;
};

// Checks settings that ParseSite has read. The worst findings come first, then those in the order of
// docs/settings.md.
std::vector<Finding> Check(const Pairs& in, const Site& site);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_CHECK_H_
