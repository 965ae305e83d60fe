#include "cli/proxy.h"

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
#include "cli/fleet.h"
#include "cli/operations.h"
#include "cli/replicated_config_service.h"
#include "cli/state.h"
#include "cli/state_writer.h"
#include "discovery/endpoint_directory.h"
#include "discovery/endpoint_watch.h"
#include "frontend/frame_server.h"
#include "hot_restart/process_registry.h"
#include "operator_config/operator_file.h"

namespace lemoncroft::cli {
namespace {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;
using runtime::Time;

// After SIGTERM, where no successor holds the listening socket: how long new connections, and then requests
// on open ones, are still served.
constexpr auto kAcceptFor = 500ms;
constexpr auto kServeFor = 700ms;
constexpr auto kDrainBeat = 10ms;
// Where another process takes its place, SIGKILL comes when the longest deadline, or this if that is longer,
// has passed since then. An answer that says so, some time before it, is better than none.
constexpr auto kOutlives = 5000ms, kLastAnswers = 200ms;
constexpr auto kShutFor = 200ms;     // for clients to end connections that are shut
constexpr auto kGiveUpFor = 100ms;   // for attempts that nobody waits for to be called off
constexpr auto kFeedFirst = 1000ms;  // for the control feed to answer a process that takes another's place
constexpr auto kStartBeat = 5ms;
constexpr auto kRegistryInterval = 100ms;  // of what the processes of this proxy hold
constexpr auto kTidyBeat = 1s;             // of what reloads have left
constexpr auto kStateBeat = 1s;            // of the state file

constexpr std::size_t kSocketsUntold = 1024;
constexpr std::size_t kOwnDescriptors = 40;  // epoll, signals, log, control feed, those of short calls

// Well before the engine closes it: a statement must not cross a close.
runtime::Span IdleFor(const settings::Site& site) {
  return decision::ToSpan(site.keepalive > 0 ? site.keepalive : Nanos{5'000'000'000}) * 3 / 4;
}

// What this proxy may hold, however many processes it is.
hot_restart::ProxyLimits ProxyLimitsOf(const Config& config) {
  const std::size_t sockets = config.sockets > 0 ? config.sockets : kSocketsUntold;
  const std::size_t operators = config.management ? admin::Listener::kMaxConnections + 1 : 0;
  return {sockets, sockets * 2 / 5, kOwnDescriptors + operators};  // clients hold a third; some reconnect
}

backend::ConnectionPool::Limits PoolLimits(const Config& config) {
  backend::ConnectionPool::Limits limits;
  limits.max_connections = hot_restart::DivideLimits(ProxyLimitsOf(config), {}, {}).engines;
  limits.idle_timeout = IdleFor(config.site);
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
std::size_t MostRequests(const settings::Site& site, std::size_t most) {
  return site.max_open > 0 ? std::min(most, static_cast<std::size_t>(site.max_open)) : most;
}

broker::Broker::Limits RequestLimits(const Config& config, std::size_t memory_mb, std::size_t most) {
  broker::Broker::Limits limits;
  limits.max_requests = MostRequests(config.site, most);
  if (memory_mb > 0) limits.max_bytes = (memory_mb << 20) / 8;
  return limits;
}

operator_config::OperatorFile ReadOperator(const Paths& paths, const settings::Site& site) {
  return paths.operator_file.empty() ? operator_config::OperatorFile()
                                     : operator_config::LoadOperatorFile(paths.operator_file, site);
}

sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

class Signals {
 public:
  explicit Signals(runtime::Loop& loop) : loop_(loop) {
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
struct Running {
  Config config;  // in force, but for its site
  settings::ActiveSettings& site;
  frontend::FrameServer& server;
  broker::Broker& broker;
  backend::Engines& engines;
  discovery::EndpointDirectory& directory;
  discovery::EndpointWatch& endpoint_watch;
  metrics::Counters& counters;
  discovery::EndpointDirectory::UpdateCallback tell;
  std::size_t most;                                       // requests open, where the settings name no number
  std::string state;                                      // file; empty: none
  const operator_config::FleetSettings* fleet = nullptr;  // null: off
  std::optional<admission_queue::Settings> own_line;  // as the operator's file has it; none: no waiting line
  ReplicatedConfigService* rules = nullptr;           // null: off
  bool tidying = false;
};

void PutInForce(Running& running, settings::Migration migration) {
  running.site.Replace(std::move(migration.site));
  running.broker.ApplySettings(std::move(migration.inherits_estimates_from),
                               MostRequests(*running.site, running.most));
  running.directory.RenumberKindsAndZones(running.tell);
  running.engines.set_connect_timeout(decision::ToSpan(running.site->module.connect_timeout));
  running.engines.set_report_fields(running.site->report_fields);
  running.engines.pool().set_idle_timeout(IdleFor(*running.site));
  for (const std::string& class_id : running.site->classes)
    if (!class_id.empty()) running.counters.Know(class_id);
}

// Settings of this proxy's own, as the rules that the fleet agrees on change them.
settings::Site UnderRules(const Running& running, const settings::Site& own) {
  return running.rules == nullptr ? own : replicated_config::ApplyDocument(running.rules->document(), own);
}

void PutLineInForce(Running& running, const replicated_config::Document* document) {
  if (!running.own_line) return;
  running.broker.admission_queue()->Configure(
      document == nullptr ? *running.own_line
                          : replicated_config::ApplyDocument(*document, *running.own_line));
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
void Reload(const Paths& paths, Running& running) {
  try {
    Config config = LoadConfig(paths.config);
    try {
      CheckFigures(config);
      CheckShape(config, running.config);
    } catch (const ConfigError& e) {
      throw ConfigError(paths.config + ": " + e.what());
    }
    settings::Migration migration =
        MigrateSettings(*running.site, UnderRules(running, config.site), running.broker.NumbersInUse());
    operator_config::OperatorFile file = ReadOperator(paths, migration.site);
    if (file.waiting.has_value() != (running.broker.admission_queue() != nullptr))
      throw ConfigError(paths.operator_file + ": waiting is switched on and off by a restart only");
    if (file.fleet.has_value() != (running.fleet != nullptr))
      throw ConfigError(paths.operator_file + ": fleet is switched on and off by a restart only");
    if (file.rules.has_value() != (running.rules != nullptr))
      throw ConfigError(paths.operator_file + ": rules are switched on and off by a restart only");
    if (file.rules && *file.rules != running.rules->settings())
      spdlog::warn("{}: rules changes by a restart only; it stays as it was", paths.operator_file);
    if (running.rules != nullptr) {
      const auto compatible =
          running.rules->CheckCompatible(config.site, file.waiting ? &file.waiting->queue : nullptr);
      if (!compatible) throw ConfigError("the rules in force can't be carried: " + compatible.error().Text());
    }
    if (file.fleet && *file.fleet != *running.fleet)
      spdlog::warn("{}: fleet changes by a restart only; it stays as it was", paths.operator_file);
    WarnAboutStartOnlySettings(config, running.config);
    LogFindings(config);
    PutInForce(running, std::move(migration));
    if (file.waiting) {
      running.own_line = std::move(file.waiting->queue);
      PutLineInForce(running, running.rules == nullptr ? nullptr : &running.rules->document());
      running.server.set_foretells(file.waiting->tell_clients);
      running.state = std::move(file.waiting->state);
      spdlog::info("operator's file read again: {}", paths.operator_file);
    }
    running.directory.Apply(std::exchange(config.known, {}), running.tell);
    spdlog::info("configuration read again: {} classes, control feed at {}", config.site.classes.size(),
                 config.feed);
    running.endpoint_watch.ChangeAddress(config.feed);
    running.config = std::move(config);
    running.counters.Reloaded(true);
  } catch (const std::exception& e) {
    running.counters.Reloaded(false);
    spdlog::error("configuration not taken, the old one stays: {}", e.what());
  }
}

// Frees the numbers of classes and tenants that were kept for requests under way, once these have ended.
Task<> Tidy(runtime::Loop& loop, Running& running) {
  if (std::exchange(running.tidying, true)) co_return;
  while (settings::HasRetired(*running.site)) {
    co_await loop.Sleep(kTidyBeat);
    settings::Migration now =
        MigrateSettings(*running.site, settings::RemoveRetired(*running.site), running.broker.NumbersInUse());
    if (now.site.module.classes != running.site->module.classes) PutInForce(running, std::move(now));
  }
  running.tidying = false;
}

// Keeps the state file up to date, once a second.
Task<> WriteState(runtime::Loop& loop, Running& running) {
  std::optional<StateWriter> writer;
  for (;; co_await loop.Sleep(kStateBeat)) {
    if (running.state.empty()) continue;
    if (!writer) writer.emplace();
    writer->Write(running.state,
                  StateText(running.config.name, running.broker.admission_queue()->Describe()));
  }
}

// Lets what was taken come to its end. Who comes meanwhile is another process's where that holds the
// listening socket too.
Task<> End(runtime::Loop& loop, frontend::FrameServer& server, broker::Broker& broker,
           const settings::ActiveSettings& site, bool shared, Fleet* fleet) {
  using Queue = frontend::FrameServer::Queue;
  const Time since = Now();
  spdlog::info("ending: {} requests open", broker.open_requests());
  if (shared) server.StopAccepting(Queue::kLeave);
  server.AnnounceEnd();
  co_await loop.SleepUntil(since + kAcceptFor);
  if (!shared) server.StopAccepting(Queue::kLetIn);
  server.AnnounceEnd();  // to those who came meanwhile
  co_await loop.SleepUntil(since + kServeFor);
  broker.RejectNewRequests();
  if (shared) {
    Nanos longest = 0;
    for (const ClassSettings& c : site->module.classes) longest = std::max(longest, c.deadline);
    const Time last =
        since + kServeFor + std::min<runtime::Span>(decision::ToSpan(longest), kOutlives) - kLastAnswers;
    while (broker.open_requests() > 0 && Now() < last) co_await loop.Sleep(kDrainBeat);
    if (broker.open_requests() > 0)
      spdlog::info("ending: {} requests can't be waited for", broker.open_requests());
    broker.CompleteAllRequests();
  }
  for (; broker.open_requests() > 0 || !server.flushed(); co_await loop.Sleep(kDrainBeat))
    server.CloseResting();
  // A process that ended now would reset the connections on which something has come meanwhile.
  const Time shut_by = Now() + kShutFor;
  for (; server.connections() > 0 && (Now() < shut_by || !server.flushed()); co_await loop.Sleep(kDrainBeat))
    server.CloseResting();
  // Engines are still being told of what was given up: else it would run on for nobody.
  const Time last = Now() + kGiveUpFor;
  while (!broker.idle() && Now() < last) co_await loop.Sleep(kDrainBeat);
  if (fleet != nullptr) co_await fleet->Leave();
  spdlog::info("ended");
  loop.Stop();
}

// Keeps to this process's share of the limits while there are others, and tells them what it holds.
Task<> ShareLimits(runtime::Loop& loop, const hot_restart::ProcessRegistry& registry,
                   const Operations& operations, Running& running) {
  const hot_restart::ProxyLimits limits = ProxyLimitsOf(running.config);
  std::size_t before = 0;
  int parts = 0;  // not told yet
  for (;; co_await loop.Sleep(kRegistryInterval)) {
    const hot_restart::ConnectionUsage own{
        static_cast<std::uint32_t>(running.server.connections()),
        static_cast<std::uint32_t>(running.engines.pool().open_connections()),
        operations.phase() == Operations::Phase::kServing};
    registry.Publish(own);
    const hot_restart::PeerProcesses others = registry.ReadPeers();
    const hot_restart::ProcessLimits share = DivideLimits(limits, own, others);
    running.server.set_connections(share.clients);
    running.engines.pool().set_max_connections(share.engines);
    if (const int now = ProcessCount(own, others); std::exchange(parts, now) != now)
      running.broker.SetProcessShare(now);
    if (std::exchange(before, others.processes) == others.processes) continue;
    spdlog::info(
        "{} other processes of this proxy live: at most {} connections to clients, {} to engines now", before,
        share.clients, share.engines);
  }
}

// In place of another process: clients are let in once this one can serve as well as that one did. What the
// configuration knows may be old, so the control feed is heard first, if it answers.
Task<> StartInPlace(runtime::Loop& loop, const discovery::EndpointDirectory& directory,
                    const discovery::EndpointWatch& endpoint_watch, frontend::FrameServer& server,
                    Operations& operations) {
  const Time until = Now() + kFeedFirst;
  const auto waits = [&] {
    return (endpoint_watch.enabled() && !endpoint_watch.has_answered()) ||
           (operations.has_valid_lease && !operations.has_valid_lease());
  };
  while (!directory.has_complete_list() || (waits() && Now() < until)) co_await loop.Sleep(kStartBeat);
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

void HoldSignals() {
  const sigset_t set = HandledSignals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

// Builds and connects every part of the process in order; not split yet.
// NOLINTNEXTLINE(readability-function-size)
int RunProxy(Config config, const Paths& paths) {
  HoldSignals();
  std::signal(SIGPIPE, SIG_IGN);
  const bool shared = !paths.inherited.empty();
  runtime::Descriptor inherited;
  if (shared) inherited = runtime::InheritedListener(DescriptorNumber(paths.inherited));
  runtime::Loop loop;
  Signals signals(loop);
  settings::ActiveSettings site(config.site);
  discovery::EndpointDirectory directory(site);
  // Another process may live beside this one at any time, and bytes can't be handed back at once.
  const std::size_t memory_mb = shared ? config.memory_mb / 2 : config.memory_mb;
  metrics::Counters counters;
  for (const std::string& class_id : site->classes) counters.Know(class_id);
  backend::Engines engines(loop, directory, PoolLimits(config),
                           decision::ToSpan(site->module.connect_timeout), counters);
  engines.set_report_fields(site->report_fields);
  operator_config::OperatorFile file = ReadOperator(paths, *site);
  const std::size_t most =
      file.waiting ? file.waiting->queue.max_waiting : broker::Broker::Limits().max_requests;
  broker::Broker broker(loop, site, config.seed, engines, counters, RequestLimits(config, memory_mb, most));
  if (file.waiting) broker.EnableAdmissionQueue(file.waiting->queue);
  auto listener = shared ? std::make_unique<runtime::Listener>(loop, std::move(inherited))
                         : std::make_unique<runtime::Listener>(loop, config.listen);
  frontend::FrameServer server(loop, std::move(listener), site, broker, counters,
                               ClientLimits(config, memory_mb));
  directory.on_incarnation_ended = [&](EngineId engine) { engines.pool().CloseIdle(engine); };

  const auto tell = [&](EngineList list) {
    broker.UpdateEndpoints(std::move(list));
    server.set_ready(directory.has_complete_list());
  };
  Operations operations(loop, directory, broker, counters, tell);
  const char* tmpdir = std::getenv("TMPDIR");
  std::unique_ptr<hot_restart::ProcessRegistry> registry;
  if (shared && tmpdir != nullptr) registry = std::make_unique<hot_restart::ProcessRegistry>(tmpdir);
  if (shared && (tmpdir == nullptr || !registry->registered()))
    spdlog::warn("$TMPDIR can't be used: processes that take each other's place don't see each other");
  if (shared && tmpdir != nullptr && !file.rules)  // else the fleet's rules tell of engines out by hand
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
  Running running{config,
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
    running.state = file.waiting->state;
    running.own_line = file.waiting->queue;
    loop.Spawn(WriteState(loop, running));
  }
  if (file.rules) {
    const auto put_in_force = [&](const replicated_config::Document& document) {
      PutInForce(running, MigrateSettings(*running.site,
                                          replicated_config::ApplyDocument(document, running.config.site),
                                          running.broker.NumbersInUse()));
      PutLineInForce(running, &document);
      loop.Spawn(Tidy(loop, running));
    };
    rules = std::make_unique<ReplicatedConfigService>(
        loop, *fleet, *file.rules, config.name, directory, tell,
        ReplicatedConfigService::LocalConfig{[&]() -> const settings::Site& { return running.config.site; },
                                             [&]() -> const admission_queue::Settings* {
                                               return running.own_line ? &*running.own_line : nullptr;
                                             },
                                             put_in_force});
    running.rules = rules.get();
    broker.set_lease_fence(rules.get());
    operations.set_ejections_replicated();
    operations.has_valid_lease = [&] { return rules->ready(); };
    rules->Start();
  }
  loop.Spawn(endpoint_watch.Run());
  loop.Spawn(engines.pool().CloseExpired());
  broker.Start();
  if (shared) {
    loop.Spawn(StartInPlace(loop, directory, endpoint_watch, server, operations));
    if (rules == nullptr) loop.Spawn(operations.WatchEjectionStore());
    if (registry) loop.Spawn(ShareLimits(loop, *registry, operations, running));
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
      Reload(paths, running);
      loop.Spawn(Tidy(loop, running));
    }
    operations.set_phase(Operations::Phase::kEnding);
    if (rules != nullptr) rules->Shutdown();
    co_await End(loop, server, broker, site, shared, fleet.get());
  };
  loop.Spawn(handle_signals());
  spdlog::info("{} listens on {}", config.name, config.listen_text);
  loop.Run();
  return 0;
}

}  // namespace lemoncroft::cli
