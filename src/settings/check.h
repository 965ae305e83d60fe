// Checks a site's settings for values out of range, contradictions between values, and unknown keys.
// docs/settings.md documents each key. Pure functions.
#ifndef LEMONCROFT_SETTINGS_CHECK_H_
#define LEMONCROFT_SETTINGS_CHECK_H_

#include <string>
#include <vector>

#include "settings/settings.h"

namespace lemoncroft::settings {

enum class Severity {
  kWarning,  // all classes are served; a value has no effect or is replaced by another one
  kError,    // a reload rejects the settings; at startup, the classes that can be served are served
  kFatal,    // no class can be served; startup rejects the settings too
};

struct Finding {
  Severity severity = Severity::kWarning;
  std::string text;  // a single line that names the key

  bool operator==(const Finding&) const = default;
};

// Checks settings that ParseSite has parsed. Findings are sorted by severity, most severe first, and then in
// the order of docs/settings.md.
std::vector<Finding> Check(const Pairs& in, const Site& site);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_CHECK_H_
