#include "settings/migration.h"

#include <algorithm>
#include <functional>
#include <string>
#include <unordered_map>

namespace lemoncroft::settings {
namespace {

constexpr std::size_t kMaxKindsOrZones = 4096;        // includes removed ones, whose numbers are never reused
constexpr std::size_t kMaxClassesOrTenants = 32'768;  // active ones and those with requests in flight

using Numbers = std::vector<std::uint16_t>;
using Names = std::vector<std::string>;

// Returns the number of each name; for equal names, the first number.
std::unordered_map<std::string, std::size_t> NumberByName(const Names& names) {
  std::unordered_map<std::string, std::size_t> numbers;
  for (std::size_t i = 0; i < names.size(); ++i) numbers.try_emplace(names[i], i);
  return numbers;
}

// Appends the names of `new_names` that `all` lacks. Returns the number in `all` of each name of `new_names`.
Numbers AppendMissing(Names& all, const Names& new_names) {
  Numbers numbers;
  auto known = NumberByName(all);
  for (const std::string& name : new_names) {
    const auto [it, is_new] = known.try_emplace(name, all.size());
    if (is_new) all.push_back(name);
    numbers.push_back(static_cast<std::uint16_t>(it->second));
  }
  if (all.size() > kMaxKindsOrZones)
    throw SettingsError("too many machine kinds or zones since the process started");
  return numbers;
}

// Replaces each value by its entry in `numbers`. Values without an entry stay unchanged.
void Renumber(Numbers& values, const Numbers& numbers) {
  for (std::uint16_t& value : values) {
    if (value < numbers.size()) value = numbers[value];
  }
}

// Assigns a number to each name of `new_names`: its former number if `is_same` returns true, otherwise the
// lowest number that is neither assigned nor referenced. `names` contains the former names on entry and the
// new names on return; a number without a new name has an empty one.
Numbers AssignNumbers(Names& names, const Names& new_names, const std::set<std::uint16_t>& referenced,
                      const std::function<bool(std::size_t former_index, std::size_t new_index)>& is_same) {
  const auto former_numbers = NumberByName(names);
  std::vector<bool> assigned(names.size());
  Numbers numbers(new_names.size());
  std::vector<std::size_t> without_number;
  for (std::size_t i = 0; i < new_names.size(); ++i) {
    const auto it = former_numbers.find(new_names[i]);
    const std::size_t former = it == former_numbers.end() ? names.size() : it->second;
    if (former < names.size() && !assigned[former] && is_same(former, i)) {
      assigned[former] = true;
      numbers[i] = static_cast<std::uint16_t>(former);
    } else {
      without_number.push_back(i);
    }
  }
  const auto is_referenced = [&](std::size_t number) {
    return referenced.contains(static_cast<std::uint16_t>(number));
  };
  std::size_t lowest_free = 0;
  for (const std::size_t i : without_number) {
    while (lowest_free < assigned.size() && (assigned[lowest_free] || is_referenced(lowest_free)))
      ++lowest_free;
    if (lowest_free == assigned.size()) assigned.push_back(false);
    assigned[lowest_free] = true;
    numbers[i] = static_cast<std::uint16_t>(lowest_free);
  }
  std::size_t size = assigned.size();
  while (size > 0 && !assigned[size - 1] && !is_referenced(size - 1)) --size;
  if (size > kMaxClassesOrTenants) throw SettingsError("too many classes or tenants");
  names.assign(size, "");
  for (std::size_t i = 0; i < new_names.size(); ++i) names[numbers[i]] = new_names[i];
  return numbers;
}

struct ZoneAndKindNumbers {
  Numbers zones, kinds;
};

ZoneAndKindNumbers MigrateZonesAndKinds(const Site& from, const Site& to, Site& site) {
  site.zones = from.zones;
  site.kinds = from.kinds;
  ZoneAndKindNumbers numbers;
  numbers.zones = AppendMissing(site.zones, to.zones);
  numbers.kinds = AppendMissing(site.kinds, to.kinds);
  if (to.module.zone < numbers.zones.size()) site.module.zone = numbers.zones[to.module.zone];
  site.module.kinds = from.module.kinds;
  site.module.kinds.resize(site.kinds.size());
  for (std::size_t i = 0; i < std::min(numbers.kinds.size(), to.module.kinds.size()); ++i)
    site.module.kinds[numbers.kinds[i]] = to.module.kinds[i];
  return numbers;
}

void MigrateClasses(const Site& from, const Site& to, const ReferencedNumbers& referenced,
                    const ZoneAndKindNumbers& new_numbers, Migration& migration) {
  Site& site = migration.site;
  std::vector<int>& inherits_from = migration.former_class;
  std::vector<ClassSettings> new_classes = to.module.classes;
  for (ClassSettings& settings : new_classes) {
    Renumber(settings.zones, new_numbers.zones);
    Renumber(settings.kinds, new_numbers.kinds);
  }
  const auto& former = from.module.classes;
  site.classes = from.classes;
  const Numbers numbers = AssignNumbers(site.classes, to.classes, referenced.classes,
                                        [&](std::size_t from_index, std::size_t to_index) {
                                          return former[from_index] == new_classes[to_index];
                                        });
  site.module.classes.assign(site.classes.size(), ClassSettings());
  inherits_from.assign(site.classes.size(), -1);
  for (const std::uint16_t number : referenced.classes) {
    if (number >= former.size()) continue;
    site.module.classes[number] = former[number];
    inherits_from[number] = number;
  }
  const auto former_numbers = NumberByName(from.classes);
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    site.module.classes[numbers[i]] = new_classes[i];
    const auto it = former_numbers.find(to.classes[i]);
    inherits_from[numbers[i]] = it == former_numbers.end() ? -1 : static_cast<int>(it->second);
  }
}

void MigrateTenants(const Site& from, const Site& to, const ReferencedNumbers& referenced, Site& site) {
  site.tenants = from.tenants;
  const Numbers numbers = AssignNumbers(site.tenants, to.tenants, referenced.tenants,
                                        [](std::size_t, std::size_t) { return true; });
  site.module.tenants.assign(site.tenants.size(), TenantSettings());
  for (const std::uint16_t number : referenced.tenants) {
    if (number < from.module.tenants.size()) site.module.tenants[number] = from.module.tenants[number];
  }
  for (std::size_t i = 0; i < numbers.size(); ++i) site.module.tenants[numbers[i]] = to.module.tenants[i];
}

bool HasEmptyName(const Names& names) { return std::find(names.begin(), names.end(), "") != names.end(); }

}  // namespace

Migration MigrateSettings(const Site& from, const Site& to, const ReferencedNumbers& referenced) {
  Migration migration{to, {}};
  const ZoneAndKindNumbers new_numbers = MigrateZonesAndKinds(from, to, migration.site);
  MigrateClasses(from, to, referenced, new_numbers, migration);
  MigrateTenants(from, to, referenced, migration.site);
  return migration;
}

Site RemoveRetired(const Site& site) {
  Site active = site;
  active.classes.clear();
  active.tenants.clear();
  active.module.classes.clear();
  active.module.tenants.clear();
  for (std::size_t i = 0; i < site.classes.size(); ++i) {
    if (site.classes[i].empty()) continue;
    active.classes.push_back(site.classes[i]);
    active.module.classes.push_back(site.module.classes[i]);
  }
  for (std::size_t i = 0; i < site.tenants.size(); ++i) {
    if (site.tenants[i].empty()) continue;
    active.tenants.push_back(site.tenants[i]);
    active.module.tenants.push_back(site.module.tenants[i]);
  }
  return active;
}

bool HasRetired(const Site& site) { return HasEmptyName(site.classes) || HasEmptyName(site.tenants); }

}  // namespace lemoncroft::settings
