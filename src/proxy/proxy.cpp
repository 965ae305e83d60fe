#include "proxy/proxy.h"

#include <spdlog/spdlog.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <system_error>
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
#include "proxy/operations.h"
#include "proxy/replicated_config_service.h"
#include "proxy/state.h"
#include "proxy/state_writer.h"

namespace lemoncroft::proxy {
namespace {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;
using runtime::Time;

// After SIGTERM, where no successor holds the listening socket: how long new connections, and then requests
// on open ones, are still served.
constexpr auto kKeepAcceptingDuration = 500ms;
constexpr auto kKeepServingDuration = 700ms;
constexpr auto kDrainPollInterval = 10ms;
// Where another process takes its place, SIGKILL comes when the longest deadline, or this if that is longer,
// has passed since then. An answer that says so, some time before it, is better than none.
constexpr auto kMaxDrainWithSuccessor = 5000ms, kFinalAnswerMargin = 200ms;
constexpr auto kClientCloseTimeout = 200ms;     // for clients to end connections that are shut
constexpr auto kCancelAttemptsTimeout = 100ms;  // for attempts that nobody waits for to be called off
constexpr auto kControlFeedTimeout = 1000ms;    // for the feed's first response during a hot restart
constexpr auto kReadinessPollInterval = 5ms;
constexpr auto kProcessRegistryInterval = 100ms;  // of what the processes of this proxy hold
constexpr auto kRetiredNumbersInterval = 1s;      // of what reloads have left
constexpr auto kStateFileInterval = 1s;           // of the state file

constexpr std::size_t kDefaultMaxDescriptors = 1024;
constexpr std::size_t kReservedDescriptors = 40;  // epoll, signals, log, control feed, those of short calls

// Well before the engine closes it: a statement must not cross a close.
runtime::Span EngineIdleTimeout(const settings::Site& site) {
  return decision::ToSpan(site.keepalive > 0 ? site.keepalive : Nanos{5'000'000'000}) * 3 / 4;
}

// What this proxy may hold, however many processes it is.
hot_restart::ProxyLimits ProxyLimitsOf(const Config& config) {
  const std::size_t sockets = config.sockets > 0 ? config.sockets : kDefaultMaxDescriptors;
  const std::size_t operators = config.management ? admin::Listener::kMaxConnections + 1 : 0;
  return {sockets, sockets * 2 / 5,
          kReservedDescriptors + operators};  // clients hold a third; some reconnect
}

backend::Pool::Limits PoolLimits(const Config& config) {
  backend::Pool::Limits limits;
  limits.connections = hot_restart::DivideLimits(ProxyLimitsOf(config), {}, {}).engines;
  limits.idle = EngineIdleTimeout(config.site);
  return limits;
}

frontend::FrameServer::Limits ClientLimits(const Config& config, std::size_t memory_mb) {
  frontend::FrameServer::Limits limits;
  limits.connections = ProxyLimitsOf(config).clients;
  if (memory_mb > 0) {
    limits.unread_by_all = (memory_mb << 20) / 8;
    limits.unparsed_of_all = (memory_mb << 20) / 4;
  }
  return limits;
}

// `most`: where the settings name no number.
std::size_t MaxOpenRequests(const settings::Site& site, std::size_t most) {
  return site.max_open > 0 ? std::min(most, static_cast<std::size_t>(site.max_open)) : most;
}

broker::Broker::Limits RequestLimits(const Config& config, std::size_t memory_mb, std::size_t most) {
  broker::Broker::Limits limits;
  limits.requests = MaxOpenRequests(config.site, most);
  if (memory_mb > 0) limits.bytes = (memory_mb << 20) / 8;
  return limits;
}

operator_config::OperatorFile ReadOperatorSettings(const StartupOptions& options,
                                                   const settings::Site& site) {
  return options.operator_path.empty() ? operator_config::OperatorFile()
                                       : operator_config::LoadOperatorFile(options.operator_path, site);
}

sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

class SignalReader {
 public:
  explicit SignalReader(runtime::Loop& loop) : loop_(loop) {
    const sigset_t set = HandledSignals();
    fd_ = runtime::Descriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop_.Watch(fd_.get(), &watched_);
  }

  Task<int> Next() {
    signalfd_siginfo info{};
    while (::read(fd_.get(), &info, sizeof info) != sizeof info) {
      co_await runtime::Waiter(loop_, &watched_.readable, runtime::kNever);
    }
    co_return static_cast<int>(info.ssi_signo);
  }

 private:
  runtime::Loop& loop_;
  runtime::Watched watched_;
  runtime::Descriptor fd_;
};

// What a reload may change.
struct ReloadableState {
  Config config;  // in force, but for its site
  settings::ActiveSettings& active_settings;
  frontend::FrameServer& server;
  broker::Broker& broker;
  backend::Engines& engines;
  discovery::EndpointDirectory& directory;
  discovery::EndpointWatch& endpoint_watch;
  metrics::Counters& counters;
  discovery::EndpointDirectory::UpdateCallback on_endpoint_update;
  std::size_t default_max_open_requests;  // requests open, where the settings name no number
  std::string queue_state_file;           // file; empty: none
  const operator_config::FleetSettings* fleet_settings = nullptr;  // null: off
  std::optional<admission_queue::Settings>
      own_queue_settings;  // as the operator's file has it; none: no waiting line
  ReplicatedConfigService* replicated_config_service = nullptr;  // null: off
  bool freeing_retired_numbers = false;
};

void ApplySettings(ReloadableState& state, settings::Migration migration) {
  state.active_settings.Replace(std::move(migration.site));
  state.broker.ApplySettings(std::move(migration.inherits_estimates_from),
                             MaxOpenRequests(*state.active_settings, state.default_max_open_requests));
  state.directory.RenumberKindsAndZones(state.on_endpoint_update);
  state.engines.set_connect_timeout(decision::ToSpan(state.active_settings->module.connect_timeout));
  state.engines.set_report_fields(state.active_settings->report_fields);
  state.engines.pool().set_idle(EngineIdleTimeout(*state.active_settings));
  for (const std::string& class_id : state.active_settings->classes)
    if (!class_id.empty()) state.counters.Know(class_id);
}

// Settings of this proxy's own, as the rules that the fleet agrees on change them.
settings::Site WithReplicatedConfig(const ReloadableState& state, const settings::Site& own) {
  return state.replicated_config_service == nullptr
             ? own
             : replicated_config::ApplyDocument(state.replicated_config_service->document(), own);
}

void ApplyQueueSettings(ReloadableState& state, const replicated_config::Document* document) {
  if (!state.own_queue_settings) return;
  state.broker.admission_queue()->Configure(
      document == nullptr ? *state.own_queue_settings
                          : replicated_config::ApplyDocument(*document, *state.own_queue_settings));
}

// A process is started with these for good.
void WarnAboutStartOnlySettings(const Config& now, const Config& before) {
  const std::pair<const char*, bool> parts[] = {
      {"name", now.name == before.name},
      {"listen", now.listen_text == before.listen_text},
      {"management", now.management_text == before.management_text},
      {"limits", now.memory_mb == before.memory_mb && now.sockets == before.sockets}};
  for (const auto& [part, same] : parts)
    if (!same) spdlog::warn("configuration: {} changes by a start only; it stays as it was", part);
}

// What new files change while the process runs: the settings, the control feed's address, events it knows
// that are new, and the budgets of the waiting line. All of it is checked before anything is touched; where
// something can't be used nothing changes.
void Reload(const StartupOptions& options, ReloadableState& state) {
  try {
    Config config = LoadConfig(options.config_path);
    try {
      CheckFigures(config);
      CheckShape(config, state.config);
    } catch (const ConfigError& e) {
      throw ConfigError(options.config_path + ": " + e.what());
    }
    settings::Migration migration = MigrateSettings(
        *state.active_settings, WithReplicatedConfig(state, config.site), state.broker.used());
    operator_config::OperatorFile file = ReadOperatorSettings(options, migration.site);
    if (file.waiting.has_value() != (state.broker.admission_queue() != nullptr))
      throw ConfigError(options.operator_path + ": waiting is switched on and off by a restart only");
    if (file.fleet.has_value() != (state.fleet_settings != nullptr))
      throw ConfigError(options.operator_path + ": fleet is switched on and off by a restart only");
    if (file.rules.has_value() != (state.replicated_config_service != nullptr))
      throw ConfigError(options.operator_path + ": rules are switched on and off by a restart only");
    if (file.rules && *file.rules != state.replicated_config_service->settings())
      spdlog::warn("{}: rules changes by a restart only; it stays as it was", options.operator_path);
    if (state.replicated_config_service != nullptr) {
      const auto compatible = state.replicated_config_service->CheckCompatible(
          config.site, file.waiting ? &file.waiting->queue : nullptr);
      if (!compatible) throw ConfigError("the rules in force can't be carried: " + compatible.error().Text());
    }
    if (file.fleet && *file.fleet != *state.fleet_settings)
      spdlog::warn("{}: fleet changes by a restart only; it stays as it was", options.operator_path);
    WarnAboutStartOnlySettings(config, state.config);
    LogFindings(config);
    ApplySettings(state, std::move(migration));
    if (file.waiting) {
      state.own_queue_settings = std::move(file.waiting->queue);
      ApplyQueueSettings(state, state.replicated_config_service == nullptr
                                    ? nullptr
                                    : &state.replicated_config_service->document());
      state.server.set_foretells(file.waiting->tell_clients);
      state.queue_state_file = std::move(file.waiting->state);
      spdlog::info("operator's file read again: {}", options.operator_path);
    }
    state.directory.Apply(std::exchange(config.known, {}), state.on_endpoint_update);
    spdlog::info("configuration read again: {} classes, control feed at {}", config.site.classes.size(),
                 config.feed);
    state.endpoint_watch.ChangeAddress(config.feed);
    state.config = std::move(config);
    state.counters.Reloaded(true);
  } catch (const std::exception& e) {
    state.counters.Reloaded(false);
    spdlog::error("configuration not taken, the old one stays: {}", e.what());
  }
}

// Frees the numbers of classes and tenants that were kept for requests under way, once these have ended.
Task<> FreeRetiredNumbers(runtime::Loop& loop, ReloadableState& state) {
  if (std::exchange(state.freeing_retired_numbers, true)) co_return;
  while (settings::HasRetired(*state.active_settings)) {
    co_await loop.Sleep(kRetiredNumbersInterval);
    settings::Migration now = MigrateSettings(
        *state.active_settings, settings::RemoveRetired(*state.active_settings), state.broker.used());
    if (now.site.module.classes != state.active_settings->module.classes)
      ApplySettings(state, std::move(now));
  }
  state.freeing_retired_numbers = false;
}

// Keeps the state file up to date, once a second.
Task<> WriteQueueState(runtime::Loop& loop, ReloadableState& state) {
  std::optional<StateWriter> writer;
  for (;; co_await loop.Sleep(kStateFileInterval)) {
    if (state.queue_state_file.empty()) continue;
    if (!writer) writer.emplace();
    writer->Write(state.queue_state_file,
                  StateText(state.config.name, state.broker.admission_queue()->Describe()));
  }
}

// Lets what was taken come to its end. Who comes meanwhile is another process's where that holds the
// listening socket too.
Task<> ShutDownGracefully(runtime::Loop& loop, frontend::FrameServer& server, broker::Broker& broker,
                          const settings::ActiveSettings& site, bool listener_inherited, Fleet* fleet) {
  using Queue = frontend::FrameServer::Queue;
  const Time since = Now();
  spdlog::info("ending: {} requests open", broker.open());
  if (listener_inherited) server.StopAccepting(Queue::kLeave);
  server.AnnounceEnd();
  co_await loop.SleepUntil(since + kKeepAcceptingDuration);
  if (!listener_inherited) server.StopAccepting(Queue::kLetIn);
  server.AnnounceEnd();  // to those who came meanwhile
  co_await loop.SleepUntil(since + kKeepServingDuration);
  broker.Close();
  if (listener_inherited) {
    Nanos longest = 0;
    for (const ClassSettings& c : site->module.classes) longest = std::max(longest, c.deadline);
    const Time last = since + kKeepServingDuration +
                      std::min<runtime::Span>(decision::ToSpan(longest), kMaxDrainWithSuccessor) -
                      kFinalAnswerMargin;
    while (broker.open() > 0 && Now() < last) co_await loop.Sleep(kDrainPollInterval);
    if (broker.open() > 0) spdlog::info("ending: {} requests can't be waited for", broker.open());
    broker.CompleteAllRequests();
  }
  for (; broker.open() > 0 || !server.flushed(); co_await loop.Sleep(kDrainPollInterval))
    server.CloseResting();
  // A process that ended now would reset the connections on which something has come meanwhile.
  const Time shut_by = Now() + kClientCloseTimeout;
  for (; server.connections() > 0 && (Now() < shut_by || !server.flushed());
       co_await loop.Sleep(kDrainPollInterval))
    server.CloseResting();
  // Engines are still being told of what was given up: else it would run on for nobody.
  const Time last = Now() + kCancelAttemptsTimeout;
  while (!broker.idle() && Now() < last) co_await loop.Sleep(kDrainPollInterval);
  if (fleet != nullptr) co_await fleet->Leave();
  spdlog::info("ended");
  loop.Stop();
}

// Keeps to this process's share of the limits while there are others, and tells them what it holds.
Task<> ShareLimitsWithPeers(runtime::Loop& loop, const hot_restart::ProcessRegistry& registry,
                            const Operations& operations, ReloadableState& state) {
  const hot_restart::ProxyLimits limits = ProxyLimitsOf(state.config);
  std::size_t before = 0;
  int parts = 0;  // not told yet
  for (;; co_await loop.Sleep(kProcessRegistryInterval)) {
    const hot_restart::ConnectionUsage own{static_cast<std::uint32_t>(state.server.connections()),
                                           static_cast<std::uint32_t>(state.engines.pool().open()),
                                           operations.phase() == Operations::Phase::kServing};
    registry.Publish(own);
    const hot_restart::PeerProcesses others = registry.ReadPeers();
    const hot_restart::ProcessLimits share = DivideLimits(limits, own, others);
    state.server.set_connections(share.clients);
    state.engines.pool().set_connections(share.engines);
    if (const int now = ProcessCount(own, others); std::exchange(parts, now) != now)
      state.broker.SetProcessShare(now);
    if (std::exchange(before, others.processes) == others.processes) continue;
    spdlog::info(
        "{} other processes of this proxy live: at most {} connections to clients, {} to engines now", before,
        share.clients, share.engines);
  }
}

// In place of another process: clients are let in once this one can serve as well as that one did. What the
// configuration knows may be old, so the control feed is heard first, if it answers.
Task<> AcceptOnceReady(runtime::Loop& loop, const discovery::EndpointDirectory& directory,
                       const discovery::EndpointWatch& endpoint_watch, frontend::FrameServer& server,
                       Operations& operations) {
  const Time until = Now() + kControlFeedTimeout;
  const auto waits = [&] {
    return (endpoint_watch.enabled() && !endpoint_watch.has_answered()) ||
           (operations.has_valid_lease && !operations.has_valid_lease());
  };
  while (!directory.has_complete_list() || (waits() && Now() < until))
    co_await loop.Sleep(kReadinessPollInterval);
  server.Start();
  operations.set_phase(Operations::Phase::kServing);
  spdlog::info("serving in place of another process");
}

int DescriptorNumber(const std::string& text) {
  int number = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0)
    throw ConfigError("PROXY_FD: '" + text + "' is no descriptor");
  return number;
}

}  // namespace

void BlockHandledSignals() {
  const sigset_t set = HandledSignals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

// Builds and connects every part of the process in order; not split yet.
// NOLINTNEXTLINE(readability-function-size)
int RunProxy(Config config, const StartupOptions& options) {
  BlockHandledSignals();
  std::signal(SIGPIPE, SIG_IGN);
  const bool listener_inherited = !options.inherited_listener.empty();
  runtime::Descriptor inherited;
  if (listener_inherited)
    inherited = runtime::InheritedListener(DescriptorNumber(options.inherited_listener));
  runtime::Loop loop;
  SignalReader signals(loop);
  settings::ActiveSettings site(config.site);
  discovery::EndpointDirectory directory(site);
  // Another process may live beside this one at any time, and bytes can't be handed back at once.
  const std::size_t memory_mb = listener_inherited ? config.memory_mb / 2 : config.memory_mb;
  metrics::Counters counters;
  for (const std::string& class_id : site->classes) counters.Know(class_id);
  backend::Engines engines(loop, directory, PoolLimits(config),
                           decision::ToSpan(site->module.connect_timeout), counters);
  engines.set_report_fields(site->report_fields);
  operator_config::OperatorFile file = ReadOperatorSettings(options, *site);
  const std::size_t most = file.waiting ? file.waiting->queue.max_waiting : broker::Broker::Limits().requests;
  broker::Broker broker(loop, site, config.seed, engines, counters, RequestLimits(config, memory_mb, most));
  if (file.waiting) broker.EnableAdmissionQueue(file.waiting->queue);
  auto listener = listener_inherited ? std::make_unique<runtime::Listener>(loop, std::move(inherited))
                                     : std::make_unique<runtime::Listener>(loop, config.listen);
  frontend::FrameServer server(loop, std::move(listener), site, broker, counters,
                               ClientLimits(config, memory_mb));
  directory.on_incarnation_ended = [&](EngineId engine) { engines.pool().Drop(engine); };

  const auto tell = [&](EngineList list) {
    broker.UpdateEndpoints(std::move(list));
    server.set_ready(directory.has_complete_list());
  };
  Operations operations(loop, directory, broker, counters, tell);
  const char* tmpdir = std::getenv("TMPDIR");
  std::unique_ptr<hot_restart::ProcessRegistry> registry;
  if (listener_inherited && tmpdir != nullptr)
    registry = std::make_unique<hot_restart::ProcessRegistry>(tmpdir);
  if (listener_inherited && (tmpdir == nullptr || !registry->registered()))
    spdlog::warn("$TMPDIR can't be used: processes that take each other's place don't see each other");
  if (listener_inherited && tmpdir != nullptr &&
      !file.rules)  // else the fleet's rules tell of engines out by hand
    operations.EnableEjectionStore(
        tmpdir, decision::ToSpan(site->module.slow_start_duration + site->module.overload_window));
  // Before the list: what a cold engine takes may have been sent it just now.
  if (registry && registry->ReadPeers().usage.serving > 0) broker.SetProcessShare(2);
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<ReplicatedConfigService> rules;
  if (file.fleet) {
    fleet = std::make_unique<Fleet>(
        loop, *file.fleet, config.name, config.seed,
        [&](const gossip::ServingRank& own) { broker.SetFleetSize(own.serving_count, own.rank); });
    operations.on_phase = [&](Operations::Phase phase) { fleet->SetPhase(phase); };
    operations.AddMetrics([&] {
      auto figures = fleet->Metrics();
      if (rules == nullptr) return figures;
      const auto more = rules->Metrics();
      figures.insert(figures.end(), more.begin(), more.end());
      return figures;
    });
    fleet->Start();
  }
  if (!directory.Apply(std::exchange(config.known, {}), tell))
    spdlog::warn("the configuration knows no list of engines");
  discovery::EndpointWatch endpoint_watch(loop, directory, config.feed, tell, config.seed);
  ReloadableState state{config,
                        site,
                        server,
                        broker,
                        engines,
                        directory,
                        endpoint_watch,
                        counters,
                        tell,
                        most,
                        "",
                        file.fleet ? &fleet->settings() : nullptr,
                        {},
                        nullptr};
  if (file.waiting) {
    server.set_foretells(file.waiting->tell_clients);
    state.queue_state_file = file.waiting->state;
    state.own_queue_settings = file.waiting->queue;
    loop.Spawn(WriteQueueState(loop, state));
  }
  if (file.rules) {
    const auto activate = [&](const replicated_config::Document& document) {
      ApplySettings(state, MigrateSettings(*state.active_settings,
                                           replicated_config::ApplyDocument(document, state.config.site),
                                           state.broker.used()));
      ApplyQueueSettings(state, &document);
      loop.Spawn(FreeRetiredNumbers(loop, state));
    };
    rules = std::make_unique<ReplicatedConfigService>(
        loop, *fleet, *file.rules, config.name, directory, tell,
        ReplicatedConfigService::LocalConfig{[&]() -> const settings::Site& { return state.config.site; },
                                             [&]() -> const admission_queue::Settings* {
                                               return state.own_queue_settings ? &*state.own_queue_settings
                                                                               : nullptr;
                                             },
                                             activate});
    state.replicated_config_service = rules.get();
    broker.set_lease_fence(rules.get());
    operations.set_ejections_replicated();
    operations.has_valid_lease = [&] { return rules->ready(); };
    rules->Start();
  }
  loop.Spawn(endpoint_watch.Run());
  loop.Spawn(engines.pool().CloseIdle());
  broker.Start();
  if (listener_inherited) {
    loop.Spawn(AcceptOnceReady(loop, directory, endpoint_watch, server, operations));
    if (rules == nullptr) loop.Spawn(operations.WatchEjectionStore());
    if (registry) loop.Spawn(ShareLimitsWithPeers(loop, *registry, operations, state));
  } else {
    server.Start();
    operations.set_phase(Operations::Phase::kServing);
  }
  std::unique_ptr<admin::Listener> operators;
  if (config.management) {
    operators = std::make_unique<admin::Listener>(
        loop, *config.management, [&](const admin::Call& call) { return operations.Answer(call); });
    if (rules != nullptr)
      operators->after = [&](admin::Call call, admin::Reply reply) {
        return rules->ReplicateManualEjection(std::move(call), std::move(reply));
      };
    loop.Spawn(operators->Run());
  }
  // Signals that come while one is handled are not lost: the next turn reads them.
  const auto handle_signals = [&]() -> Task<> {
    while (co_await signals.Next() == SIGHUP) {
      Reload(options, state);
      loop.Spawn(FreeRetiredNumbers(loop, state));
    }
    operations.set_phase(Operations::Phase::kEnding);
    if (rules != nullptr) rules->Shutdown();
    co_await ShutDownGracefully(loop, server, broker, site, listener_inherited, fleet.get());
  };
  loop.Spawn(handle_signals());
  spdlog::info("{} listens on {}", config.name, config.listen_text);
  loop.Run();
  return 0;
}

}  // namespace lemoncroft::proxy
