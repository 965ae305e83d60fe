#include "proxy/proxy.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "admin/listener.h"
#include "backend/engines.h"
#include "broker/broker.h"
#include "discovery/endpoint_directory.h"
#include "discovery/endpoint_watch.h"
#include "frontend/frame_server.h"
#include "hot_restart/process_registry.h"
#include "operator_config/operator_file.h"
#include "proxy/fleet.h"
#include "proxy/hot_restart.h"
#include "proxy/operations.h"
#include "proxy/queue_state.h"
#include "proxy/reload.h"
#include "proxy/replicated_config_service.h"
#include "proxy/resource_limits.h"
#include "proxy/shutdown.h"
#include "proxy/signals.h"

namespace lemoncroft::proxy {
namespace {

ListenerOwnership OwnershipOf(const StartupOptions& options) {
  return options.inherited_listener.empty() ? ListenerOwnership::kExclusive : ListenerOwnership::kShared;
}

// Returns this process's part of the proxy's memory. A process that inherited its listening socket gets half:
// another process may run beside it at any time, and memory cannot be returned at once.
std::size_t ProcessMemoryMb(const Config& config, ListenerOwnership ownership) {
  return ownership == ListenerOwnership::kShared ? config.memory_mb / 2 : config.memory_mb;
}

std::unique_ptr<runtime::Listener> MakeListener(runtime::Loop& loop, const Config& config,
                                                runtime::Descriptor inherited) {
  return inherited ? std::make_unique<runtime::Listener>(loop, std::move(inherited))
                   : std::make_unique<runtime::Listener>(loop, config.listen_address);
}

std::size_t DefaultMaxOpenRequests(const operator_config::OperatorFile& operator_file) {
  return operator_file.admission_queue ? operator_file.admission_queue->queue.max_waiting
                                       : broker::Broker::Limits().max_requests;
}

// Announces this process's phases to the fleet, and adds the fleet's metrics to telemetry.
void ConnectFleet(Fleet& fleet, const std::unique_ptr<ReplicatedConfigService>& service,
                  Operations& operations) {
  operations.on_phase = [&fleet](Operations::Phase phase) { fleet.SetPhase(phase); };
  operations.AddMetrics([&fleet, &service] {
    auto metrics = fleet.Metrics();
    if (service == nullptr) return metrics;
    const auto config_metrics = service->Metrics();
    metrics.insert(metrics.end(), config_metrics.begin(), config_metrics.end());
    return metrics;
  });
}

// `service` is the pointer that RunProxy sets later, if there is a replicated configuration; it is still
// null.
std::unique_ptr<Fleet> StartFleet(runtime::Loop& loop, const operator_config::FleetSettings& settings,
                                  const Config& config, broker::Broker& broker, Operations& operations,
                                  const std::unique_ptr<ReplicatedConfigService>& service) {
  auto fleet = std::make_unique<Fleet>(loop, settings, config.name, config.seed,
                                       [&broker](const gossip::ServingRank& own_rank) {
                                         broker.SetFleetSize(own_rank.serving_count, own_rank.rank);
                                       });
  ConnectFleet(*fleet, service, operations);
  fleet->Start();
  return fleet;
}

// Applies the operator's settings of the admission queue to everything but the queue itself: the wait
// notices, the state file and the settings for reloads.
void StartQueueReports(runtime::Loop& loop, const operator_config::AdmissionQueueSettings& settings,
                       ReloadableState& state) {
  state.server.set_wait_notices_enabled(settings.report_estimates);
  state.queue_state_file = settings.state_file;
  state.own_queue_settings = settings.queue;
  loop.Spawn(WriteQueueState(loop, state));
}

std::unique_ptr<ReplicatedConfigService> MakeReplicatedConfigService(
    runtime::Loop& loop, Fleet& fleet, const operator_config::ReplicatedConfigSettings& settings,
    ReloadableState& state, std::unique_ptr<hot_restart::SharedFile> shared_ejections) {
  ReplicatedConfigService::LocalConfig local;
  local.site = [&state]() -> const settings::Site& { return state.config.site; };
  local.queue = [&state]() -> const admission_queue::Settings* {
    return state.own_queue_settings ? &*state.own_queue_settings : nullptr;
  };
  local.activate = [&loop, &state](const replicated_config::Document& document) {
    ActivateDocument(loop, state, document);
  };
  return std::make_unique<ReplicatedConfigService>(loop, fleet, settings, state.config.name, state.directory,
                                                   state.on_endpoint_update, std::move(local),
                                                   std::move(shared_ejections));
}

// Returns null if the operator's file has no replicated configuration; it has one only beside a fleet.
std::unique_ptr<ReplicatedConfigService> StartReplicatedConfig(
    runtime::Loop& loop, const std::unique_ptr<Fleet>& fleet,
    const operator_config::OperatorFile& operator_file, ReloadableState& state, Operations& operations,
    SharedState& shared) {
  if (!operator_file.replicated_config) return nullptr;
  auto service = MakeReplicatedConfigService(loop, *fleet, *operator_file.replicated_config, state,
                                             std::move(shared.ejection_requests));
  state.replicated_config_service = service.get();
  state.broker.set_lease_fence(service.get());
  operations.set_ejections_replicated();
  operations.has_valid_lease = [service = service.get()] { return service->ready(); };
  service->Start();
  return service;
}

// Starts to accept clients: at once, or, if this process replaces another one, once it is ready.
void StartServing(runtime::Loop& loop, ListenerOwnership ownership,
                  const hot_restart::ProcessRegistry* registry, Operations& operations,
                  ReloadableState& state) {
  if (ownership == ListenerOwnership::kExclusive) {
    state.server.Start();
    operations.set_phase(Operations::Phase::kServing);
    return;
  }
  loop.Spawn(AcceptOnceReady(loop, state.directory, state.endpoint_watch, state.server, operations));
  if (state.replicated_config_service == nullptr) loop.Spawn(operations.WatchEjectionStore());
  if (registry != nullptr) loop.Spawn(ShareLimitsWithOtherProcesses(loop, *registry, operations, state));
}

// Returns null if the configuration has no address for operators.
std::unique_ptr<admin::Listener> StartAdminListener(runtime::Loop& loop, const Config& config,
                                                    Operations& operations,
                                                    ReplicatedConfigService* service) {
  if (!config.admin_address) return nullptr;
  auto listener = std::make_unique<admin::Listener>(
      loop, *config.admin_address,
      [&operations](const admin::Command& command) { return operations.HandleCommand(command); });
  if (service != nullptr)
    listener->follow_up = [service](admin::Command command, admin::Reply reply) {
      return service->ReplicateManualEjection(std::move(command), std::move(reply));
    };
  loop.Spawn(listener->Run());
  return listener;
}

// Reloads the files at each SIGHUP; any other handled signal ends the proxy. Signals that arrive during a
// reload are read in the next turn of the loop. No signal is read after the one that ends the proxy.
runtime::Task<> HandleSignals(runtime::Loop& loop, SignalReader& signals, const StartupOptions& options,
                              ReloadableState& state, Operations& operations, Fleet* fleet) {
  // This loop must not be a `while (co_await ...)`: compiled that way by GCC 12.2, the coroutine never reads
  // a signal. The compiler seems to store the value of the condition where the coroutine frame has its resume
  // pointer.
  for (int signal = co_await signals.Next(); signal == SIGHUP; signal = co_await signals.Next()) {
    Reload(options, state);
    loop.Spawn(FreeRetiredNumbers(loop, state));
  }
  operations.set_phase(Operations::Phase::kEnding);
  if (state.replicated_config_service != nullptr) state.replicated_config_service->Shutdown();
  co_await ShutDownGracefully(loop, state.server, state.broker, state.active_settings, OwnershipOf(options),
                              fleet);
}

}  // namespace

// Each part is constructed after the parts that it depends on and destroyed before them. Callbacks of earlier
// parts refer to `state`, but nothing uses it once the loop has ended. The order of the calls between the
// constructions matters too: each part has its classes, settings and callbacks before the first endpoint list
// and the first client.
int RunProxy(Config config, const StartupOptions& options) {
  BlockHandledSignals();
  std::signal(SIGPIPE, SIG_IGN);
  const ListenerOwnership ownership = OwnershipOf(options);
  const bool inherits_listener = ownership == ListenerOwnership::kShared;
  auto inherited = inherits_listener ? InheritListener(options.inherited_listener) : runtime::Descriptor();
  runtime::Loop loop;
  SignalReader signals(loop);
  settings::ActiveSettings active_settings(config.site);
  discovery::EndpointDirectory directory(active_settings);
  const std::size_t memory_mb = ProcessMemoryMb(config, ownership);
  metrics::Counters counters;
  for (const std::string& class_id : active_settings->classes) counters.AddClass(class_id);
  backend::Engines engines(loop, directory, PoolLimits(config),
                           decision::ToDuration(active_settings->module.connect_timeout), counters);
  engines.set_report_fields(active_settings->report_fields);
  const operator_config::OperatorFile operator_file = ReadOperatorSettings(options, *active_settings);
  const std::size_t max_open_requests = DefaultMaxOpenRequests(operator_file);
  broker::Broker broker(loop, active_settings, config.seed, engines, counters,
                        RequestLimits(config, memory_mb, max_open_requests));
  if (operator_file.admission_queue) broker.EnableAdmissionQueue(operator_file.admission_queue->queue);
  frontend::FrameServer server(loop, MakeListener(loop, config, std::move(inherited)), active_settings,
                               broker, counters, ClientLimits(config, memory_mb));
  directory.on_incarnation_ended = [&](EngineId engine) { engines.pool().CloseIdle(engine); };
  const auto on_endpoint_update = [&](EngineList list) {
    broker.UpdateEndpoints(std::move(list));
    server.set_ready(directory.has_complete_list());
  };
  Operations operations(loop, directory, broker, counters, on_endpoint_update);
  SharedState shared;
  if (inherits_listener) shared = JoinOtherProcesses(operator_file, *active_settings, operations, broker);

  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<ReplicatedConfigService> service;
  if (operator_file.fleet)
    fleet = StartFleet(loop, *operator_file.fleet, config, broker, operations, service);
  if (!directory.Apply(std::exchange(config.known_events, {}), on_endpoint_update))
    spdlog::warn("the configuration has no list of engines");
  discovery::EndpointWatch endpoint_watch(loop, directory, config.control_feed_address, on_endpoint_update,
                                          config.seed);
  ReloadableState state{.config = config,
                        .active_settings = active_settings,
                        .server = server,
                        .broker = broker,
                        .engines = engines,
                        .directory = directory,
                        .endpoint_watch = endpoint_watch,
                        .counters = counters,
                        .on_endpoint_update = on_endpoint_update,
                        .max_open_requests_cap = max_open_requests,
                        .queue_state_file = {},
                        .own_queue_settings = {},
                        .fleet_settings = fleet ? &fleet->settings() : nullptr};
  if (operator_file.admission_queue) StartQueueReports(loop, *operator_file.admission_queue, state);
  service = StartReplicatedConfig(loop, fleet, operator_file, state, operations, shared);
  loop.Spawn(endpoint_watch.Run());
  loop.Spawn(engines.pool().CloseExpired());
  broker.Start();
  StartServing(loop, ownership, shared.registry.get(), operations, state);
  const auto admin_listener = StartAdminListener(loop, config, operations, service.get());
  loop.Spawn(HandleSignals(loop, signals, options, state, operations, fleet.get()));
  spdlog::info("{} listens on {}", config.name, config.listen_address_text);
  loop.Run();
  return 0;
}

}  // namespace lemoncroft::proxy
