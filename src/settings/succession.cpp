#include "settings/succession.h"

#include <algorithm>
#include <functional>
#include <string>
#include <unordered_map>

namespace lemoncroft::settings {
namespace {

constexpr std::size_t kPlacesMost = 4096;     // kinds, zones: these are only added to
constexpr std::size_t kNumbersMost = 32'768;  // classes, tenants: those in force and those with open requests

using Numbers = std::vector<std::uint16_t>;
using Names = std::vector<std::string>;

std::size_t Find(const Names& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Where each name stands first.
std::unordered_map<std::string, std::size_t> PlacesOf(const Names& names) {
  std::unordered_map<std::string, std::size_t> places;
  for (std::size_t i = 0; i < names.size(); ++i) places.try_emplace(names[i], i);
  return places;
}

// The number of each of `to`; new names are added to `all`.
Numbers AddTo(Names& all, const Names& to) {
  Numbers numbers;
  auto places = PlacesOf(all);
  for (const std::string& name : to) {
    const auto [place, fresh] = places.try_emplace(name, all.size());
    if (fresh) all.push_back(name);
    numbers.push_back(static_cast<std::uint16_t>(place->second));
  }
  if (all.size() > kPlacesMost) throw SettingsError("too many machine kinds or zones since the start");
  return numbers;
}

void Renumber(Numbers& of, const Numbers& numbers) {
  for (std::uint16_t& place : of) {
    if (place < numbers.size()) place = numbers[place];
  }
}

// Gives each name of `to` a number: that under which `stays` says it is the same, else one that nobody uses.
// `names` are those before; afterwards those in force, empty where there is none.
Numbers Number(Names& names, const Names& to, const std::set<std::uint16_t>& used,
               const std::function<bool(std::size_t before, std::size_t now)>& stays) {
  const auto places = PlacesOf(names);
  std::vector<bool> taken(names.size());
  Numbers numbers(to.size());
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < to.size(); ++i) {
    const auto place = places.find(to[i]);
    const std::size_t at = place == places.end() ? names.size() : place->second;
    const bool same = at < names.size() && !taken[at] && stays(at, i);
    if (same) taken[at] = true;
    if (same) numbers[i] = static_cast<std::uint16_t>(at);
    if (!same) open.push_back(i);
  }
  std::size_t at = 0;  // no number below it is free
  for (const std::size_t i : open) {
    while (at < taken.size() && (taken[at] || used.contains(static_cast<std::uint16_t>(at)))) ++at;
    if (at == taken.size()) taken.push_back(false);
    taken[at] = true;
    numbers[i] = static_cast<std::uint16_t>(at);
  }
  std::size_t size = taken.size();
  while (size > 0 && !taken[size - 1] && !used.contains(static_cast<std::uint16_t>(size - 1))) --size;
  if (size > kNumbersMost) throw SettingsError("too many classes or tenants");
  names.assign(size, "");
  for (std::size_t i = 0; i < to.size(); ++i) names[numbers[i]] = to[i];
  return numbers;
}

}  // namespace

Succession Succeed(const Site& from, const Site& to, const Used& used) {
  Succession out{to, {}};
  Site& site = out.site;

  site.zones = from.zones;
  site.kinds = from.kinds;
  const Numbers zones = AddTo(site.zones, to.zones), kinds = AddTo(site.kinds, to.kinds);
  if (to.module.zone < zones.size()) site.module.zone = zones[to.module.zone];
  site.module.kinds = from.module.kinds;
  site.module.kinds.resize(site.kinds.size());
  for (std::size_t i = 0; i < std::min(kinds.size(), to.module.kinds.size()); ++i)
    site.module.kinds[kinds[i]] = to.module.kinds[i];

  std::vector<ClassSettings> fresh = to.module.classes;
  for (ClassSettings& c : fresh) Renumber(c.zones, zones), Renumber(c.kinds, kinds);
  const auto& before = from.module.classes;
  site.classes = from.classes;
  const Numbers classes = Number(site.classes, to.classes, used.classes,
                                 [&](std::size_t was, std::size_t is) { return before[was] == fresh[is]; });
  site.module.classes.assign(site.classes.size(), ClassSettings());
  out.like.assign(site.classes.size(), -1);
  for (const std::uint16_t i : used.classes) {
    if (i >= before.size()) continue;
    site.module.classes[i] = before[i];
    out.like[i] = i;
  }
  const auto classes_before = PlacesOf(from.classes);
  for (std::size_t i = 0; i < classes.size(); ++i) {
    site.module.classes[classes[i]] = fresh[i];
    const auto was = classes_before.find(to.classes[i]);
    out.like[classes[i]] = was == classes_before.end() ? -1 : static_cast<int>(was->second);
  }

  site.tenants = from.tenants;
  const Numbers tenants =
      Number(site.tenants, to.tenants, used.tenants, [](std::size_t, std::size_t) { return true; });
  site.module.tenants.assign(site.tenants.size(), TenantSettings());
  for (const std::uint16_t i : used.tenants) {
    if (i < from.module.tenants.size()) site.module.tenants[i] = from.module.tenants[i];
  }
  for (std::size_t i = 0; i < tenants.size(); ++i) site.module.tenants[tenants[i]] = to.module.tenants[i];
  return out;
}

Site WithoutRetired(const Site& site) {
  Site out = site;
  out.classes.clear();
  out.tenants.clear();
  out.module.classes.clear();
  out.module.tenants.clear();
  for (std::size_t i = 0; i < site.classes.size(); ++i) {
    if (site.classes[i].empty()) continue;
    out.classes.push_back(site.classes[i]);
    out.module.classes.push_back(site.module.classes[i]);
  }
  for (std::size_t i = 0; i < site.tenants.size(); ++i) {
    if (site.tenants[i].empty()) continue;
    out.tenants.push_back(site.tenants[i]);
    out.module.tenants.push_back(site.module.tenants[i]);
  }
  return out;
}

bool HasRetired(const Site& site) {
  return Find(site.classes, "") < site.classes.size() || Find(site.tenants, "") < site.tenants.size();
}

}  // namespace lemoncroft::settings
