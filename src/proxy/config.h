// The proxy's configuration: the JSON file that PROXY_CONFIG names.
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

// What is wrong with a configuration, in one plain line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  std::string listen_text;
  runtime::Address listen;
  std::string management_text;
  std::optional<runtime::Address> management;  // none: operators can't call
  std::uint64_t seed = 0;
  std::size_t memory_mb = 0;  // 0 = not told
  std::size_t sockets = 0;    // likewise
  std::string feed;           // empty: none is followed
  codec::Json known;          // the control feed's events up to now
  settings::Site site;
  std::vector<settings::Finding> findings;  // about the settings, the worst first
  // Where each value of the file stands, in the way of settings.requestClasses[].deadlineNs, and of what kind
  // it is. Of the members of a list, what all have.
  std::map<std::string, codec::Json::Kind> shape;
};

// Throws ConfigError.
Config ReadConfig(std::string_view text);
Config LoadConfig(const std::string& path);

// What a file must be beyond that. For a start: some request can be served. For a process that runs, whose
// settings are better than half-broken ones: no errors, and, with the one in force at hand, every key that
// this has, with a value of the same kind. All throw ConfigError.
void CheckServable(const Config& config);
void CheckFigures(const Config& config);
void CheckShape(const Config& config, const Config& in_force);

// Writes a log line for each finding about the settings.
void LogFindings(const Config& config);

// An address in a configuration; `what` names it in the error.
runtime::Address ReadAddress(const std::string& text, const char* what);

// Nested JSON as path=value pairs in the form of the simulator's first message.
settings::Pairs Flatten(const codec::Json& settings);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_CONFIG_H_
