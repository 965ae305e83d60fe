#include "proxy/reload.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <exception>
#include <utility>

#include "proxy/config_fields.h"
#include "proxy/resource_limits.h"
#include "settings/migration.h"

namespace lemoncroft::proxy {
namespace {

using namespace std::chrono_literals;

constexpr auto kRetiredNumbersInterval = 1s;  // between two checks of the numbers in use

void ApplySettings(ReloadableState& state, settings::Migration migration) {
  settings::ActiveSettings& active = state.active_settings;
  active.Replace(std::move(migration.site));
  state.broker.ApplySettings(std::move(migration.former_class),
                             MaxOpenRequests(*active, state.max_open_requests_cap));
  state.directory.RenumberKindsAndZones(state.on_endpoint_update);
  state.engines.set_connect_timeout(decision::ToDuration(active->module.connect_timeout));
  state.engines.set_report_fields(active->report_fields);
  state.engines.pool().set_idle_timeout(EngineIdleTimeout(*active));
  for (const std::string& class_id : active->classes)
    if (!class_id.empty()) state.counters.AddClass(class_id);
}

// Returns this proxy's own settings with the overrides of the active version of the replicated configuration.
settings::Site WithReplicatedConfig(const ReloadableState& state, const settings::Site& own) {
  if (state.replicated_config_service == nullptr) return own;
  return replicated_config::ApplyDocument(state.replicated_config_service->document(), own);
}

// `document` has the overrides to apply; null: no overrides.
void ApplyQueueSettings(ReloadableState& state, const replicated_config::Document* document) {
  if (!state.own_queue_settings) return;
  state.broker.admission_queue()->Configure(
      document == nullptr ? *state.own_queue_settings
                          : replicated_config::ApplyDocument(*document, *state.own_queue_settings));
}

Config LoadReloadableConfig(const std::string& path, const Config& current) {
  Config config = LoadConfig(path);
  try {
    CheckSettings(config);
    CheckShape(config, current);
  } catch (const ConfigError& e) {
    throw ConfigError(path + ": " + e.what());
  }
  return config;
}

// Throws ConfigError if the operator's file enables or disables a part, which requires a restart.
void CheckSamePartsEnabled(const std::string& path, const operator_config::OperatorFile& file,
                           const ReloadableState& state) {
  if (file.admission_queue.has_value() != (state.broker.admission_queue() != nullptr))
    throw ConfigError(path + ": waiting can be enabled or disabled only by a restart");
  if (file.fleet.has_value() != (state.fleet_settings != nullptr))
    throw ConfigError(path + ": fleet can be enabled or disabled only by a restart");
  if (file.replicated_config.has_value() != (state.replicated_config_service != nullptr))
    throw ConfigError(path + ": rules can be enabled or disabled only by a restart");
}

// Throws ConfigError if the active version of the replicated configuration cannot be applied to the new
// settings.
void CheckReplicatedConfigFits(const ReloadableState& state, const settings::Site& site,
                               const operator_config::OperatorFile& file) {
  if (state.replicated_config_service == nullptr) return;
  const auto compatible = state.replicated_config_service->CheckCompatible(
      site, file.admission_queue ? &file.admission_queue->queue : nullptr);
  if (!compatible)
    throw ConfigError("the active version of the rules cannot be applied: " + compatible.error().Text());
}

// Logs a warning for each changed setting that takes effect only at a start.
void WarnAboutStartOnlySettings(const Config& config, const Config& previous) {
  const std::pair<const char*, bool> parts[] = {
      {fields::kName, config.name == previous.name},
      {fields::kListenAddress, config.listen_address_text == previous.listen_address_text},
      {fields::kAdminAddress, config.admin_address_text == previous.admin_address_text},
      {fields::kLimits,
       config.memory_mb == previous.memory_mb && config.max_descriptors == previous.max_descriptors}};
  for (const auto& [part, same] : parts)
    if (!same)
      spdlog::warn("configuration: {} changes take effect only at a restart; the old value stays", part);
}

void ApplyOperatorSettings(ReloadableState& state, operator_config::AdmissionQueueSettings queue_settings) {
  state.own_queue_settings = std::move(queue_settings.queue);
  ApplyQueueSettings(state, state.replicated_config_service == nullptr
                                ? nullptr
                                : &state.replicated_config_service->document());
  state.server.set_wait_notices_enabled(queue_settings.report_estimates);
  state.queue_state_file = std::move(queue_settings.state_file);
}

// Throws an exception, and changes nothing, if one of the files cannot be used.
void ReloadOrThrow(const StartupOptions& options, ReloadableState& state) {
  Config config = LoadReloadableConfig(options.config_path, state.config);
  settings::Migration migration = MigrateSettings(
      *state.active_settings, WithReplicatedConfig(state, config.site), state.broker.NumbersInUse());
  operator_config::OperatorFile file = ReadOperatorSettings(options, migration.site);
  CheckSamePartsEnabled(options.operator_path, file, state);
  if (file.replicated_config && *file.replicated_config != state.replicated_config_service->settings())
    spdlog::warn("{}: rules changes take effect only at a restart; the old settings stay",
                 options.operator_path);
  CheckReplicatedConfigFits(state, config.site, file);
  if (file.fleet && *file.fleet != *state.fleet_settings)
    spdlog::warn("{}: fleet changes take effect only at a restart; the old settings stay",
                 options.operator_path);
  WarnAboutStartOnlySettings(config, state.config);
  LogFindings(config);

  ApplySettings(state, std::move(migration));
  if (file.admission_queue) {
    ApplyOperatorSettings(state, std::move(*file.admission_queue));
    spdlog::info("operator's file read again: {}", options.operator_path);
  }
  state.directory.Apply(std::exchange(config.known_events, {}), state.on_endpoint_update);
  spdlog::info("configuration read again: {} classes, control feed at {}", config.site.classes.size(),
               config.control_feed_address);
  state.endpoint_watch.ChangeAddress(config.control_feed_address);
  state.config = std::move(config);
}

}  // namespace

operator_config::OperatorFile ReadOperatorSettings(const StartupOptions& options,
                                                   const settings::Site& site) {
  if (options.operator_path.empty()) return {};
  return operator_config::LoadOperatorFile(options.operator_path, site);
}

void Reload(const StartupOptions& options, ReloadableState& state) {
  try {
    ReloadOrThrow(options, state);
    state.counters.CountReload(metrics::ReloadResult::kApplied);
  } catch (const std::exception& e) {
    state.counters.CountReload(metrics::ReloadResult::kRejected);
    spdlog::error("configuration not taken, the old one stays: {}", e.what());
  }
}

void ActivateDocument(runtime::Loop& loop, ReloadableState& state,
                      const replicated_config::Document& document) {
  ApplySettings(state, MigrateSettings(*state.active_settings,
                                       replicated_config::ApplyDocument(document, state.config.site),
                                       state.broker.NumbersInUse()));
  ApplyQueueSettings(state, &document);
  loop.Spawn(FreeRetiredNumbers(loop, state));
}

runtime::Task<> FreeRetiredNumbers(runtime::Loop& loop, ReloadableState& state) {
  if (std::exchange(state.freeing_retired_numbers, true)) co_return;
  while (settings::HasRetired(*state.active_settings)) {
    co_await loop.Sleep(kRetiredNumbersInterval);
    settings::Migration migration = MigrateSettings(
        *state.active_settings, settings::RemoveRetired(*state.active_settings), state.broker.NumbersInUse());
    if (migration.site.module.classes != state.active_settings->module.classes)
      ApplySettings(state, std::move(migration));
  }
  state.freeing_retired_numbers = false;
}

}  // namespace lemoncroft::proxy
