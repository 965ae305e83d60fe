// New settings in the place of others while requests are under way: those keep the class and the tenant that
// they came with. No I/O, no clock.
#ifndef LEMONCROFT_SETTINGS_SUCCESSION_H_
#define LEMONCROFT_SETTINGS_SUCCESSION_H_

#include <cstdint>
#include <set>
#include <vector>

#include "settings/settings.h"

namespace lemoncroft::settings {

// Numbers that requests under way refer to.
struct Used {
  std::set<std::uint16_t> classes, tenants;
};

struct Succession {
  Site site;
  std::vector<int> like;  // for each class, the one before that it goes on from; -1: none
};

// `to` with its classes, tenants, kinds and zones numbered so that what `used` names keeps its number and its
// figures. A class under the same name and figures keeps its number; numbers that nobody uses are given
// again. Throws SettingsError where there would be too many.
Succession Succeed(const Site& from, const Site& to, const Used& used);

// The same without the classes and tenants that are no more.
Site WithoutRetired(const Site& site);

// Whether some numbers are kept for requests under way alone.
bool HasRetired(const Site& site);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_SUCCESSION_H_
