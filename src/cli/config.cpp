#include "cli/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace lemoncroft::cli {
namespace {

using codec::Json;

constexpr std::size_t kNameMost = 64, kNamesMost = 1024;
constexpr Nanos kDeadlineMost = 86'400'000'000'000;  // a day: past it, it is no figure
constexpr Nanos kTickMost = 1'000'000'000;
constexpr double kFigureMost = 1e9;
constexpr int kAttemptsMost = 100;

// May come and go with the classes that have them.
bool IsOptional(const std::string& path) {
  const std::string of_class = "settings.requestClasses[].";
  return path == of_class + "fifoByKey" || path.starts_with(of_class + "staysIn") ||
         path.starts_with(of_class + "boundTo");
}

// Inside a list's values spaces and commas turn into underscores, as on the simulator's wire.
std::string ListItem(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
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
  for (const Json& item : json.items) joined += (joined.empty() ? "" : ",") + ListItem(item.text);
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
  const bool events = path == "known.events";  // these come and go
  if (!json.Is(Json::Kind::kArray) || json.items.empty() || events) return;
  Shape all;
  for (std::size_t i = 0; i < json.items.size(); ++i) {
    Shape one;
    ShapeInto(one, path + "[]", json.items[i]);
    if (i == 0)
      all = std::move(one);
    else
      std::erase_if(
          all, [&](const auto& key) { return !one.contains(key.first) || one[key.first] != key.second; });
  }
  out.merge(all);
}

Shape ShapeOf(const Json& json) {
  Shape shape;
  ShapeInto(shape, "", json);
  return shape;
}

// Names become fields of frames, headers and figures.
bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kNameMost &&
         std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 0x7f && c != '='; });
}

void CheckNames(const std::vector<std::string>& names, const std::string& what) {
  std::set<std::string> seen;
  for (const std::string& name : names) {
    if (!IsName(name)) throw ConfigError(what + ": a name is missing or unusable");
    if (!seen.insert(name).second) throw ConfigError(what + ": '" + name + "' is there twice");
  }
  if (names.size() > kNamesMost) throw ConfigError(what + ": too many");
}

std::uint64_t ReadSeed(const std::string& text) {
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) throw ConfigError("seed: not a hex number");
  return seed;
}

std::size_t ReadSize(const Json& json) {
  return static_cast<std::size_t>(std::clamp<std::int64_t>(json.Integer(), 0, std::int64_t{1} << 40));
}

}  // namespace

runtime::Address ReadAddress(const std::string& text, const char* what) {
  const auto address = runtime::Address::Parse(text);
  if (!address) throw ConfigError(std::string(what) + ": '" + text + "' is not an IPv4 address with a port");
  return *address;
}

settings::Pairs Flatten(const Json& settings) {
  settings::Pairs out;
  FlattenInto(out, "", settings);
  return out;
}

Config ReadConfig(std::string_view text) {
  Config config;
  try {
    const Json json = Json::Parse(text);
    if (!json.Is(Json::Kind::kObject)) throw ConfigError("not a JSON object");
    config.name = json["name"].text;
    config.listen_text = json["listen"].text;
    config.listen = ReadAddress(config.listen_text, "listen");
    config.management_text = json["management"].text;
    if (!config.management_text.empty())
      config.management = ReadAddress(config.management_text, "management");
    config.seed = ReadSeed(json["seed"].text);
    config.memory_mb = ReadSize(json["limits"]["memory_mb"]);
    config.sockets = ReadSize(json["limits"]["sockets"]);
    config.feed = json["feed"].text;
    if (!config.feed.empty()) ReadAddress(config.feed, "feed");
    config.known = json["known"];
    if (!json["settings"].Is(Json::Kind::kObject)) throw ConfigError("settings: missing");
    config.site = settings::ParseSite(Flatten(json["settings"]));
    config.shape = ShapeOf(json);
    if (config.site.classes.empty()) throw ConfigError("settings: no request classes");
  } catch (const codec::JsonError& e) {
    throw ConfigError(e.what());
  } catch (const settings::SettingsError& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  return config;
}

void CheckFigures(const Config& config) {
  const settings::Site& site = config.site;
  CheckNames(site.classes, "settings.requestClasses");
  CheckNames(site.tenants, "settings.tenants");
  const auto wrong = [](const std::string& where) { throw ConfigError(where + ": out of range"); };
  for (std::size_t i = 0; i < site.classes.size(); ++i) {
    const ClassSettings& c = site.module.classes[i];
    const std::string where = "settings.requestClasses '" + site.classes[i] + "' ";
    if (c.deadline <= 0 || c.deadline > kDeadlineMost) wrong(where + "deadlineNs");
    if (c.aim <= 0 || c.aim > kDeadlineMost) wrong(where + "promiseNs");
    if (!(c.worth >= 0 && c.worth <= kFigureMost)) wrong(where + "credit");
    if (!(c.late_worth >= 0 && c.late_worth <= 1)) wrong(where + "lateWorth");
    if (!(c.aim_stretch >= 0 && c.aim_stretch <= kFigureMost)) wrong(where + "aimStretch");
  }
  for (std::size_t i = 0; i < site.tenants.size(); ++i) {
    const double quota = site.module.tenants[i].quota_per_s;
    if (!(quota >= 0 && quota <= kFigureMost)) wrong("settings.tenants '" + site.tenants[i] + "' quotaPerS");
  }
  if (site.module.max_attempts < 1 || site.module.max_attempts > kAttemptsMost)
    wrong("settings.limits.maxAttempts");
  if (site.module.connect_timeout > kDeadlineMost) wrong("settings.limits.connectTimeoutNs");
  if (site.module.tick > kTickMost) wrong("settings.tickNs");
  if (site.per_class < site.classes.size())
    wrong("settings.specifics: values of some classes are missing, and");
}

void CheckShape(const Config& config, const Config& in_force) {
  for (const auto& [path, kind] : in_force.shape) {
    if (path.ends_with("[]") || kind == Json::Kind::kNull) continue;
    const auto it = config.shape.find(path);
    if (it == config.shape.end() && IsOptional(path)) continue;
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

}  // namespace lemoncroft::cli
