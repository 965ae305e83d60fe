#include "proxy/config.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "proxy/config_fields.h"
#include "settings/setting_fields.h"

namespace lemoncroft::proxy {
namespace {

using codec::Json;

// Returns the path in Config::shape of a setting that each class may have.
std::string ClassSettingPath(const char* field) {
  return std::string(fields::kSettings) + "." + settings::fields::AnyClassPath(field);
}

// Returns true for a setting that only some classes have, so that it may appear or disappear with them.
bool IsOptional(const std::string& path) {
  namespace f = settings::fields::request_class;
  return path == ClassSettingPath(f::kInOrder) || path.starts_with(ClassSettingPath(f::kBoundZones)) ||
         path.starts_with(ClassSettingPath(f::kBoundMachineKinds));
}

// Returns true for the list of the control feed's events. Different events have different members, so that
// the elements of this list have no common shape.
bool IsEventList(const std::string& path) {
  return path == std::string(fields::kKnownEvents) + "." + fields::kKnownEventList;
}

void FlattenInto(settings::Pairs& out, const std::string& path, const Json& json) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (json.Is(Json::Kind::kObject)) {
    for (std::size_t i = 0; i < json.names.size(); ++i)
      FlattenInto(out, prefix + json.names[i], json.items[i]);
    return;
  }
  if (!json.Is(Json::Kind::kArray)) return out.Set(path, json.text);
  const bool nested = std::any_of(json.items.begin(), json.items.end(),
                                  [](const Json& item) { return item.Is(Json::Kind::kObject); });
  if (nested) {
    out.Set(prefix + "count", std::to_string(json.items.size()));
    for (std::size_t i = 0; i < json.items.size(); ++i) {
      FlattenInto(out, prefix + std::to_string(i), json.items[i]);
    }
    return;
  }
  std::string joined;
  for (const Json& item : json.items) joined += (joined.empty() ? "" : ",") + settings::ToListItem(item.text);
  out.Set(path, joined);
}

using Shape = std::map<std::string, Json::Kind>;

void ShapeInto(Shape& out, const std::string& path, const Json& json) {
  out[path] = json.kind;
  if (json.Is(Json::Kind::kObject)) {
    for (std::size_t i = 0; i < json.names.size(); ++i) {
      const std::string& name = json.names[i];
      ShapeInto(out, path.empty() ? name : path + "." + name, json.items[i]);
    }
  }
  if (!json.Is(Json::Kind::kArray) || json.items.empty() || IsEventList(path)) return;
  Shape common;
  for (std::size_t i = 0; i < json.items.size(); ++i) {
    Shape item_shape;
    ShapeInto(item_shape, path + "[]", json.items[i]);
    if (i == 0)
      common = std::move(item_shape);
    else
      std::erase_if(common, [&](const auto& key) {
        return !item_shape.contains(key.first) || item_shape[key.first] != key.second;
      });
  }
  common[path + "[]"] = json.items.front().kind;  // marks the list as not empty
  out.merge(common);
}

Shape ShapeOf(const Json& json) {
  Shape shape;
  ShapeInto(shape, "", json);
  return shape;
}

// Returns true if the path belongs to an element of a list that is present in `shape` and empty.
bool IsOfEmptyList(const std::string& path, const Shape& shape) {
  for (std::size_t at = path.find("[]"); at != std::string::npos; at = path.find("[]", at + 1)) {
    const bool list_present = shape.contains(path.substr(0, at));
    if (list_present && !shape.contains(path.substr(0, at + 2))) return true;
  }
  return false;
}

// Throws ConfigError with the first finding of at least this severity.
void ThrowFirstFinding(settings::Severity min_severity, const Config& config) {
  for (const settings::Finding& finding : config.findings)
    if (finding.severity >= min_severity) throw ConfigError(finding.text);
}

std::uint64_t ParseSeed(const std::string& text) {
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) throw ConfigError("seed: not a hex number");
  return seed;
}

std::size_t ReadSize(const Json& json) {
  return static_cast<std::size_t>(std::clamp<std::int64_t>(json.Integer(), 0, std::int64_t{1} << 40));
}

void ReadMembers(const Json& json, Config& config) {
  config.name = json[fields::kName].text;
  config.listen_address_text = json[fields::kListenAddress].text;
  config.listen_address = ParseAddress(config.listen_address_text, fields::kListenAddress);
  config.admin_address_text = json[fields::kAdminAddress].text;
  if (!config.admin_address_text.empty())
    config.admin_address = ParseAddress(config.admin_address_text, fields::kAdminAddress);
  config.seed = ParseSeed(json[fields::kSeed].text);
  const Json& limits = json[fields::kLimits];
  config.memory_mb = ReadSize(limits[fields::kMemoryMb]);
  config.max_descriptors = ReadSize(limits[fields::kMaxDescriptors]);
  config.control_feed_address = json[fields::kControlFeed].text;
  if (!config.control_feed_address.empty()) ParseAddress(config.control_feed_address, fields::kControlFeed);
}

void ReadSettings(const Json& json, Config& config) {
  const Json& settings = json[fields::kSettings];
  if (!settings.Is(Json::Kind::kObject)) throw ConfigError("settings: missing");
  const settings::Pairs pairs = Flatten(settings);
  config.site = settings::ParseSite(pairs);
  config.findings = settings::Check(pairs, config.site);
  config.site.module.progress_interval = 0;  // responses of engines contain no progress notices
}

}  // namespace

runtime::Address ParseAddress(const std::string& text, const char* value_name) {
  const auto address = runtime::Address::Parse(text);
  if (!address)
    throw ConfigError(std::string(value_name) + ": '" + text + "' is not an IPv4 address with a port");
  return *address;
}

settings::Pairs Flatten(const Json& settings) {
  settings::Pairs out;
  FlattenInto(out, "", settings);
  return out;
}

Config ReadConfig(std::string_view text) {
  try {
    Json json = Json::Parse(text);
    if (!json.Is(Json::Kind::kObject)) throw ConfigError("not a JSON object");
    Config config;
    ReadMembers(json, config);
    ReadSettings(json, config);
    config.shape = ShapeOf(json);
    if (config.site.classes.empty()) throw ConfigError("settings: no request classes");
    config.known_events = json.Take(fields::kKnownEvents);  // moved because it may be long
    return config;
  } catch (const codec::JsonError& e) {
    throw ConfigError(e.what());
  } catch (const settings::SettingsError& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
}

void CheckServable(const Config& config) { ThrowFirstFinding(settings::Severity::kFatal, config); }

void CheckSettings(const Config& config) { ThrowFirstFinding(settings::Severity::kError, config); }

void LogFindings(const Config& config) {
  for (const settings::Finding& finding : config.findings) {
    const bool warning = finding.severity == settings::Severity::kWarning;
    spdlog::log(warning ? spdlog::level::warn : spdlog::level::err, "{}", finding.text);
  }
}

void CheckShape(const Config& config, const Config& current) {
  for (const auto& [path, kind] : current.shape) {
    if (path.ends_with("[]") || kind == Json::Kind::kNull) continue;
    const auto it = config.shape.find(path);
    if (it == config.shape.end() && (IsOptional(path) || IsOfEmptyList(path, config.shape))) continue;
    if (it == config.shape.end()) throw ConfigError(path + ": missing");
    if (it->second != kind) throw ConfigError(path + ": a value of another kind");
  }
}

Config LoadConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError("cannot read the configuration " + path);
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return ReadConfig(text.str());
  } catch (const ConfigError& e) {
    throw ConfigError(path + ": " + e.what());
  }
}

}  // namespace lemoncroft::proxy
