// Applies new settings while the proxy runs: from its files (SIGHUP) or from the replicated configuration.
//
// Everything is read and checked before anything is changed. Requests in flight keep the class and the tenant
// with which they arrived. Settings change between two turns of the loop, on the event loop's thread.
#ifndef LEMONCROFT_PROXY_RELOAD_H_
#define LEMONCROFT_PROXY_RELOAD_H_

#include <cstddef>
#include <optional>
#include <string>

#include "admission_queue/types.h"
#include "backend/engines.h"
#include "broker/broker.h"
#include "discovery/endpoint_directory.h"
#include "discovery/endpoint_watch.h"
#include "frontend/frame_server.h"
#include "metrics/counters.h"
#include "operator_config/operator_file.h"
#include "proxy/config.h"
#include "proxy/proxy.h"
#include "proxy/replicated_config_service.h"
#include "replicated_config/document.h"
#include "settings/settings.h"

namespace lemoncroft::proxy {

// The parts of the running proxy that a change of settings affects. RunProxy owns them; all of them outlive
// the coroutines that use this struct.
struct ReloadableState {
  Config config;  // as last read; `site` is without the replicated configuration
  settings::ActiveSettings& active_settings;
  frontend::FrameServer& server;
  broker::Broker& broker;
  backend::Engines& engines;
  discovery::EndpointDirectory& directory;
  discovery::EndpointWatch& endpoint_watch;
  metrics::Counters& counters;
  discovery::EndpointDirectory::UpdateCallback on_endpoint_update;
  // Upper bound of the number of open requests, and the default if the settings have none; fixed at the
  // start.
  std::size_t max_open_requests_cap;

  std::string queue_state_file;  // empty: no state file
  // From the operator's file, without the replicated configuration; nullopt: no admission queue.
  std::optional<admission_queue::Settings> own_queue_settings;

  const operator_config::FleetSettings* fleet_settings = nullptr;  // null: no fleet
  ReplicatedConfigService* replicated_config_service = nullptr;    // null: no replicated configuration

  bool freeing_retired_numbers = false;  // FreeRetiredNumbers is running
};

// Reads the operator's file for `site`. Returns a default value, in which every optional part is off, if
// there is no such file. Throws operator_config::OperatorError.
operator_config::OperatorFile ReadOperatorSettings(const StartupOptions& options, const settings::Site& site);

// Reads the configuration and the operator's file again and applies them. If one of them cannot be used, logs
// and counts that, and changes nothing.
void Reload(const StartupOptions& options, ReloadableState& state);

// Applies a document of the replicated configuration to this proxy's own settings.
void ActivateDocument(runtime::Loop& loop, ReloadableState& state,
                      const replicated_config::Document& document);

// Frees the numbers of removed classes and tenants once the requests in flight that use them have ended. Must
// be spawned after each change of settings; does nothing while another instance runs.
runtime::Task<> FreeRetiredNumbers(runtime::Loop& loop, ReloadableState& state);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_RELOAD_H_
