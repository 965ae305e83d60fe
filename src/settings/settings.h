// Settings from path=value pairs: the form of the simulator's first message, to which the proxy flattens its
// JSON configuration. One reader for both, so that the module is told the same in either place.
#ifndef LEMONCROFT_SETTINGS_SETTINGS_H_
#define LEMONCROFT_SETTINGS_SETTINGS_H_

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::settings {

// A settings text or value that cannot be read, named by its path.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A name as an item of a list: spaces and commas inside it are underscores there, as on the simulator's wire.
std::string ListItem(std::string name);

// Path=value pairs with typed reads that name the path when they fail.
class Pairs {
 public:
  static Pairs FromLines(std::string_view text);
  void Set(std::string path, std::string value) {
    values_.insert_or_assign(std::move(path), std::move(value));
  }

  bool Has(const std::string& key) const;
  const std::map<std::string, std::string>& all() const { return values_; }
  std::string Text(const std::string& key) const;
  double Number(const std::string& key, double absent = 0) const;
  Nanos Time(const std::string& key) const;
  // A count or index, bounded so that a wrong value cannot ask for endless work.
  int Count(const std::string& key, int absent = 0) const;
  bool Flag(const std::string& key) const;
  std::vector<std::string> List(const std::string& key) const;
  std::vector<double> Numbers(const std::string& key) const;
  // Values written as a position in `names` or as one of the names.
  std::vector<std::uint16_t> Positions(const std::string& key, const std::vector<std::string>& names) const;

  // One of the choices by its name; `unknown` where the value is none of these names.
  template <typename T>
  T OneOf(const std::string& key, std::initializer_list<std::pair<const char*, T>> choices, T absent,
          T unknown) const {
    if (!Has(key)) return absent;
    for (const auto& [name, value] : choices) {
      if (Text(key) == name) return value;
    }
    return unknown;
  }

 private:
  [[noreturn]] static void Unreadable(const std::string& key, const std::string& value);
  static double ToNumber(const std::string& key, const std::string& text);

  std::map<std::string, std::string> values_;
};

// What a site tells: the module's settings, and what only its host needs.
struct Site {
  Settings module;
  // Names, by index; empty: a class or tenant that is no more and whose last requests are under way.
  std::vector<std::string> classes, tenants, zones, kinds;
  std::vector<std::string> report_fields;  // of Settings::report_fields, in the same order
  Nanos answer_slack = 0;
  Nanos keepalive = 0;        // engines close idle connections after this
  std::size_t per_class = 0;  // classes for which every list of values by class has one
  int max_open = 0;           // requests held at a time; 0 = no limit told

  // A class or tenant by its name; none where no request may come with it any more.
  std::optional<std::uint16_t> ClassOf(std::string_view name) const { return Place(classes, name); }
  // On a site without tenants every request belongs to kNoTenant, whatever tenant it names.
  std::optional<std::uint16_t> TenantOf(std::string_view name) const {
    return HasTenants() ? Place(tenants, name) : std::optional(kNoTenant);
  }
  bool HasTenants() const {
    return std::any_of(tenants.begin(), tenants.end(), [](const auto& name) { return !name.empty(); });
  }

 private:
  static std::optional<std::uint16_t> Place(const std::vector<std::string>& names, std::string_view name);
};

// The settings in force: replaced as a whole, between two turns of the loop. What refers to them looks them
// up here each time.
class InForce {
 public:
  explicit InForce(Site site) : site_(std::make_shared<const Site>(std::move(site))) {}
  const Site& operator*() const { return *site_; }
  const Site* operator->() const { return site_.get(); }
  std::shared_ptr<const Site> snapshot() const { return site_; }
  void Replace(Site site) { site_ = std::make_shared<const Site>(std::move(site)); }

 private:
  std::shared_ptr<const Site> site_;
};

Site ParseSite(const Pairs& in);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_SETTINGS_H_
