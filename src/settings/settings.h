// Reads a site's settings from path=value pairs: the form of the simulator's first message, to which the
// proxy flattens its JSON configuration. One reader serves both, so that both give the decision module the
// same.
//
// Contract. No I/O, no clock. Owner: the caller; ActiveSettings belongs to the event loop's thread. Units:
// the keys of docs/settings.md carry theirs. Errors: SettingsError, which names the path of the value.
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

// A text or value that can't be read; what() names its path.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A name as it is written in a list: spaces and commas become underscores, as on the simulator's wire.
std::string ListItem(std::string name);

// Path=value pairs with typed reads. A read that fails throws SettingsError with the path.
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
  // A count or index; bounded, so that a wrong value can't cause unbounded work.
  int Count(const std::string& key, int absent = 0) const;
  bool Flag(const std::string& key) const;
  std::vector<std::string> List(const std::string& key) const;
  std::vector<double> Numbers(const std::string& key) const;
  // Values written as a position in `names` or as one of the names.
  std::vector<std::uint16_t> Positions(const std::string& key, const std::vector<std::string>& names) const;

  // The choice with that name; `absent` without a value, `unknown` for any other name.
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

// The settings of a site: those of the decision module, and those that only its host uses.
struct Site {
  Settings module;
  // Names by number. Empty: a class or tenant that was removed and still has requests in flight.
  std::vector<std::string> classes, tenants, zones, kinds;
  std::vector<std::string> report_fields;  // of Settings::report_fields, in the same order
  Nanos answer_slack = 0;                  // read and checked, without effect
  Nanos keepalive = 0;                     // engines close idle connections after this; 0: 5 s
  std::size_t per_class = 0;               // length of the shortest list that has a value for each class
  int max_open = 0;                        // requests in flight at a time; 0: no limit given

  // The number of a class or tenant; nullopt if no new request may use it.
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

// The settings that apply now. They are replaced as a whole between two turns of the event loop; users read
// them through this object each time and keep no reference to a Site.
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

// Reads the settings of a site. Throws SettingsError.
[[nodiscard]] Site ParseSite(const Pairs& in);

}  // namespace lemoncroft::settings

#endif  // LEMONCROFT_SETTINGS_SETTINGS_H_
