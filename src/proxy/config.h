// The proxy's configuration: the JSON file that $PROXY_CONFIG names.
//
// Contract. A plain value; reading is pure but for the file. Units as the members say. Owner: the caller.
// Errors: ConfigError, which names the key and the value. Read at the start, at each reload and by
// sub-commands. README.md has the members, docs/settings.md the settings.
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

// A configuration or a command that can't be used; what() is one line that says why.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  std::string listen_text;
  runtime::Address listen;
  std::string management_text;
  std::optional<runtime::Address> management;  // nullopt: no admin listener
  std::uint64_t seed = 0;
  std::size_t memory_mb = 0;  // 0: not given
  std::size_t sockets = 0;    // open descriptors; 0: not given
  std::string feed;           // address of the control feed; empty: none is followed
  codec::Json known;          // the control feed's events up to now
  settings::Site site;
  std::vector<settings::Finding> findings;  // about the settings, the worst first
  // The kind of each value, by its path, such as settings.requestClasses[].deadlineNs. Of the members of a
  // list only what all of them have.
  std::map<std::string, codec::Json::Kind> shape;
};

// Throws ConfigError.
Config ReadConfig(std::string_view text);
Config LoadConfig(const std::string& path);

// Further checks, which throw ConfigError. A start requires that some request can be served:
void CheckServable(const Config& config);
// A reload, which can keep the settings in force, requires that no setting has an error, and every key that
// the configuration in force has, with a value of the same kind:
void CheckFigures(const Config& config);
void CheckShape(const Config& config, const Config& in_force);

// Writes a log line for each finding about the settings.
void LogFindings(const Config& config);

// Parses an address; `what` names it in the ConfigError that is thrown for another text.
runtime::Address ReadAddress(const std::string& text, const char* what);

// Nested JSON as path=value pairs in the form of the simulator's first message.
settings::Pairs Flatten(const codec::Json& settings);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_CONFIG_H_
