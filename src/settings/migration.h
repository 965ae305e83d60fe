// Replaces settings while requests are in flight. These requests keep the class and the tenant that they
// arrived with.
//
// Requests and the decision module refer to classes, tenants, machine kinds and zones by number. A migration
// renumbers the new settings so that numbers in use keep their meaning. It throws SettingsError if there are
// not enough numbers. Pure functions without I/O; deterministic.
#ifndef LEMONCROFT_SETTINGS_MIGRATION_H_
#define LEMONCROFT_SETTINGS_MIGRATION_H_

#include <cstdint>
#include <set>
#include <vector>

#include "settings/settings.h"

namespace lemoncroft::settings {

// The numbers of classes and tenants that requests in flight refer to.
struct ReferencedNumbers {
  std::set<std::uint16_t> classes, tenants;
};

struct Migration {
  Site site;  // the new settings, renumbered
  // For each class, the number of the former class whose estimates it starts with; -1: none.
  std::vector<int> former_class;
};

// Renumbers the classes, tenants, kinds and zones of `to`. A class keeps its number if its name and values
// are unchanged; tenants, kinds and zones keep theirs if the name is unchanged. A class in `referenced` that
// was removed or changed keeps its old number and values, next to the new ones, and so does a removed tenant.
// Other numbers of classes and tenants are reused; those of kinds and zones never are.
[[nodiscard]] Migration MigrateSettings(const Site& from, const Site& to,
                                        const ReferencedNumbers& referenced);

// Returns the settings without numbers that have no name: those of retired classes and tenants (removed or,
// for a class, changed while requests in flight still refer to them) and unused ones.
[[nodiscard]] Site RemoveRetired(const Site& site);

// Returns true if the settings contain numbers of retired classes or tenants, or unused numbers.
[[nodiscard]] bool HasRetired(const Site& site);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_MIGRATION_H_
