// Replaces settings while requests are in flight: these keep the class and the tenant that they arrived with.
//
// Contract. Pure functions: no I/O, no clock, deterministic. Requests and the decision module refer to
// classes, tenants, machine kinds and zones by number; a migration renumbers new settings so that numbers in
// use keep their meaning. Errors: SettingsError if more numbers would be needed than there are.
#ifndef LEMONCROFT_SETTINGS_MIGRATION_H_
#define LEMONCROFT_SETTINGS_MIGRATION_H_

#include <cstdint>
#include <set>
#include <vector>

#include "settings/settings.h"

namespace lemoncroft::settings {

// Numbers of classes and tenants that requests in flight refer to.
struct ReferencedNumbers {
  std::set<std::uint16_t> classes, tenants;
};

struct Migration {
  Site site;  // the new settings, renumbered
  // For each class the number of the former class whose estimates it starts with; -1: none.
  std::vector<int> inherits_estimates_from;
};

// Renumbers the classes, tenants, kinds and zones of `to`. A class with the same name and values keeps its
// number, and so do kinds and zones. Classes and tenants in `referenced` keep their number and their old
// values until no request refers to them; numbers that nothing refers to are reused.
[[nodiscard]] Migration MigrateSettings(const Site& from, const Site& to,
                                        const ReferencedNumbers& referenced);

// The settings without retired classes and tenants: those that were removed and that requests in flight still
// refer to.
[[nodiscard]] Site RemoveRetired(const Site& site);

// True if the settings hold retired classes or tenants.
[[nodiscard]] bool HasRetired(const Site& site);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_MIGRATION_H_
