#include "cli/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace lemoncroft::cli {
namespace {

using codec::Json;

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
    const std::string& management = json["management"].text;
    if (!management.empty()) config.management = ReadAddress(management, "management");
    config.seed = ReadSeed(json["seed"].text);
    config.memory_mb = ReadSize(json["limits"]["memory_mb"]);
    config.sockets = ReadSize(json["limits"]["sockets"]);
    config.feed = json["feed"].text;
    if (!config.feed.empty()) ReadAddress(config.feed, "feed");
    config.known = json["known"];
    if (!json["settings"].Is(Json::Kind::kObject)) throw ConfigError("settings: missing");
    config.site = settings::ParseSite(Flatten(json["settings"]));
    if (config.site.classes.empty()) throw ConfigError("settings: no request classes");
  } catch (const codec::JsonError& e) {
    throw ConfigError(e.what());
  } catch (const settings::SettingsError& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  return config;
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
