// The proxy's configuration: the JSON file that $PROXY_CONFIG names.
//
// The proxy reads it at its start and at each reload; some sub-commands read it too. A Config is a plain
// value. Errors are reported as ConfigError, which names the key and the value. README.md describes the
// members of the file, docs/settings.md the settings.
#ifndef LEMONCROFT_PROXY_CONFIG_H_
#define LEMONCROFT_PROXY_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "codec/json.h"
#include "runtime/socket.h"
#include "settings/check.h"
#include "settings/settings.h"

namespace lemoncroft::proxy {

// Thrown for a configuration or a command that cannot be used; what() is one line with the reason.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  std::string listen_address_text;
  runtime::Address listen_address;
  std::string admin_address_text;
  std::optional<runtime::Address> admin_address;  // nullopt: no admin listener
  std::uint64_t seed = 0;
  std::size_t memory_mb = 0;         // 0: not configured
  std::size_t max_descriptors = 0;   // 0: not configured
  std::string control_feed_address;  // empty: no control feed
  codec::Json known_events;          // the control feed's events up to now; empty once they are applied
  settings::Site site;
  std::vector<settings::Finding> findings;  // about the settings, most severe first
  // The kind of each value by its path, such as settings.requestClasses[].deadlineNs. For the elements of a
  // list, it has only the paths that all of them have, with the same kind.
  std::map<std::string, codec::Json::Kind> shape;
};

// Both throw ConfigError.
Config ReadConfig(std::string_view text);
Config LoadConfig(const std::string& path);

// Throws ConfigError if a fatal error in the settings prevents the proxy from serving any request. A start
// requires no more than that.
void CheckServable(const Config& config);
// Throws ConfigError if a setting has an error. A reload requires that there is none, because it can keep the
// current settings instead.
void CheckSettings(const Config& config);
// Throws ConfigError if `config` lacks a key that the current configuration `current` has, or has a value of
// another kind for it. A reload requires this too.
void CheckShape(const Config& config, const Config& current);

// Writes a log line for each finding about the settings.
void LogFindings(const Config& config);

// Parses an IPv4 address with a port. Throws ConfigError, with `value_name` as the name of the value, for any
// other text.
runtime::Address ParseAddress(const std::string& text, const char* value_name);

// Returns nested JSON as path=value pairs in the form of the simulator's first message.
settings::Pairs Flatten(const codec::Json& settings);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_CONFIG_H_
