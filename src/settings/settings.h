// Reads a site's settings from path=value pairs. The simulator's first message has this form, and the proxy
// flattens its JSON configuration to it, so that the decision module gets the same settings from both.
//
// Does no I/O and reads no clock. ActiveSettings is used only on the event loop's thread. The keys in
// docs/settings.md include the units of their values. Invalid input throws SettingsError.
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

// Settings that cannot be used. what() names the path of the value or, for text that is not path=value, the
// line. An error of a migration that lacks numbers names neither.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns a name in the form that lists contain: spaces and commas are replaced by underscores, as in the
// simulator's protocol.
std::string ToListItem(std::string name);

// Path=value pairs with typed accessors. An accessor throws SettingsError, with the path, for a value that it
// cannot parse.
class Pairs {
 public:
  // Parses one pair per line; empty lines are skipped. Throws SettingsError.
  static Pairs FromLines(std::string_view text);
  void Set(std::string path, std::string value) {
    values_.insert_or_assign(std::move(path), std::move(value));
  }

  // Returns true if the path has a non-empty value.
  bool Has(const std::string& path) const;
  const std::map<std::string, std::string>& all() const { return values_; }
  std::string Text(const std::string& path) const;
  double Number(const std::string& path, double absent = 0) const;
  // Returns a duration.
  Nanos Time(const std::string& path) const;
  // Returns a count or an index. It is bounded, so that a wrong value can't cause unbounded work.
  int Count(const std::string& path, int absent = 0) const;
  bool Flag(const std::string& path) const;
  std::vector<std::string> List(const std::string& path) const;
  std::vector<double> Numbers(const std::string& path) const;
  // Returns the indices in `names` of the items of a list; an item is one of the names or an index.
  std::vector<std::uint16_t> Indices(const std::string& path, const std::vector<std::string>& names) const;

  // Returns the choice with the name that is the value of `path`, `absent` if the path has no value, or
  // `unknown` for any other name.
  template <typename T>
  T OneOf(const std::string& path, std::initializer_list<std::pair<const char*, T>> choices, T absent,
          T unknown) const {
    if (!Has(path)) return absent;
    for (const auto& [name, value] : choices) {
      if (Text(path) == name) return value;
    }
    return unknown;
  }

 private:
  [[noreturn]] static void ThrowInvalid(const std::string& path, const std::string& value);
  static double ToNumber(const std::string& path, const std::string& text);

  std::map<std::string, std::string> values_;
};

// The settings of a site: those of the decision module, and those that only its host uses.
struct Site {
  Settings module;  // of the decision module
  // Names by number. An empty name stands for an unused number, or for a retired class or tenant: one that
  // was removed or, for a class, changed while requests in flight still refer to it.
  std::vector<std::string> classes, tenants, zones, kinds;
  std::vector<std::string> report_fields;  // names of Settings::report_fields, in the same order
  Nanos response_slack = 0;                // parsed, but without effect
  Nanos keepalive = 0;                     // idle time after which engines close connections; 0: 5 s
  std::size_t shortest_class_list = 0;     // length of the shortest of the lists with a value for each class
  int max_open_requests = 0;               // maximum number of requests in flight; 0: not specified

  // Returns the number of a class or tenant, or nullopt if new requests may not use it.
  std::optional<std::uint16_t> ClassOf(std::string_view name) const { return NumberOf(classes, name); }
  // On a site without tenants every request belongs to kNoTenant, whatever tenant it names.
  std::optional<std::uint16_t> TenantOf(std::string_view name) const {
    return HasTenants() ? NumberOf(tenants, name) : std::optional(kNoTenant);
  }
  bool HasTenants() const {
    return std::any_of(tenants.begin(), tenants.end(), [](const auto& name) { return !name.empty(); });
  }

 private:
  static std::optional<std::uint16_t> NumberOf(const std::vector<std::string>& names, std::string_view name);
};

// The settings in force. They are replaced as a whole between two turns of the event loop. Users read them
// through this object each time and do not retain a reference to a Site.
class ActiveSettings {
 public:
  explicit ActiveSettings(Site site) : site_(std::make_shared<const Site>(std::move(site))) {}
  const Site& operator*() const { return *site_; }
  const Site* operator->() const { return site_.get(); }
  std::shared_ptr<const Site> snapshot() const { return site_; }
  void Replace(Site site) { site_ = std::make_shared<const Site>(std::move(site)); }

 private:
  std::shared_ptr<const Site> site_;
};

// Parses the settings of a site. Throws SettingsError.
[[nodiscard]] Site ParseSite(const Pairs& in);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_SETTINGS_H_
