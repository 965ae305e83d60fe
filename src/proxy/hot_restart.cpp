#include "proxy/hot_restart.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <system_error>
#include <utility>

#include "backend/engine_protocol.h"
#include "hot_restart/process_limits.h"
#include "proxy/config_fields.h"
#include "proxy/ejection_request_store.h"
#include "proxy/resource_limits.h"
#include "runtime/socket.h"

namespace lemoncroft::proxy {
namespace {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;
using runtime::Time;

constexpr auto kControlFeedTimeout = 1000ms;  // for its first response and for a valid lease
constexpr auto kReadinessPollInterval = 5ms;
constexpr auto kProcessRegistryInterval = 100ms;  // between two publications of the usage
constexpr int kProcessesAtStart = 2;              // this process and its predecessor

int DescriptorNumber(const std::string& text) {
  int number = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0)
    throw ConfigError(std::string(fields::kInheritedListenerVariable) + ": '" + text + "' is no descriptor");
  return number;
}

hot_restart::ConnectionUsage OwnUsage(const Operations& operations, ReloadableState& state) {
  hot_restart::ConnectionUsage own;
  own.clients = static_cast<std::uint32_t>(state.server.CountOpenConnections());
  own.engines = static_cast<std::uint32_t>(state.engines.pool().open_connections());
  own.serving = operations.phase() == Operations::Phase::kServing;
  return own;
}

// Returns null if `tmpdir` is null or can't be used.
std::unique_ptr<hot_restart::OrderingKeyTurns> OpenOrderingKeys(const char* tmpdir,
                                                                const Settings& settings) {
  auto file = tmpdir == nullptr ? nullptr : hot_restart::OrderingKeyFile::Open(tmpdir);
  if (file == nullptr) {
    spdlog::warn("$TMPDIR cannot be used: the order of ordering keys is not kept over a hot restart");
    return nullptr;
  }
  const hot_restart::OrderingKeyTurns::Settings hold_times{
      .abandon_timeout = backend::kEngineAbandonTimeout + backend::kEngineAbandonMargin,
      .pause = decision::ToDuration(settings.ordering_key_pause)};
  return std::make_unique<hot_restart::OrderingKeyTurns>(std::move(file), hold_times, Now());
}

// Returns null if `tmpdir` is null or can't be used.
std::unique_ptr<hot_restart::SharedFile> OpenEjectionRequests(const char* tmpdir) {
  auto file =
      tmpdir == nullptr ? nullptr : hot_restart::SharedFile::Open(tmpdir, EjectionRequestStore::kFileName);
  if (file == nullptr)
    spdlog::warn(
        "$TMPDIR cannot be used: manual ejections that the fleet has not agreed on are lost by a restart");
  return file;
}

}  // namespace

runtime::Descriptor InheritListener(const std::string& descriptor_number) {
  return runtime::AdoptListeningSocket(DescriptorNumber(descriptor_number));
}

SharedState JoinOtherProcesses(const operator_config::OperatorFile& operator_file, const settings::Site& site,
                               Operations& operations, broker::Broker& broker) {
  const char* tmpdir = std::getenv("TMPDIR");
  SharedState shared;
  std::unique_ptr<hot_restart::ProcessRegistry>& registry = shared.registry;
  if (tmpdir != nullptr) registry = std::make_unique<hot_restart::ProcessRegistry>(tmpdir);
  if (registry == nullptr || !registry->registered())
    spdlog::warn("$TMPDIR cannot be used: the processes of a hot restart do not see each other");
  // If there is a replicated configuration, manual ejections become part of it.
  if (operator_file.replicated_config)
    shared.ejection_requests = OpenEjectionRequests(tmpdir);
  else if (tmpdir != nullptr)
    operations.EnableEjectionStore(
        tmpdir, decision::ToDuration(site.module.slow_start_duration + site.module.overload_window));
  // This comes before the first endpoint list, because the predecessor may just have sent as many requests to
  // an engine in slow start as that engine can take.
  if (registry && registry->ReadOthers().usage.serving > 0) broker.SetProcessCount(kProcessesAtStart);
  shared.ordering_key_turns = OpenOrderingKeys(tmpdir, site.module);
  broker.set_ordering_key_turns(shared.ordering_key_turns.get());
  return shared;
}

Task<> AcceptOnceReady(runtime::Loop& loop, const discovery::EndpointDirectory& directory,
                       const discovery::EndpointWatch& endpoint_watch, frontend::FrameServer& server,
                       Operations& operations) {
  const Time deadline = Now() + kControlFeedTimeout;
  // The endpoint list in the configuration may be out of date, so that the control feed is read first.
  const auto must_wait = [&] {
    return (endpoint_watch.enabled() && !endpoint_watch.has_response()) ||
           (operations.has_valid_lease && !operations.has_valid_lease());
  };
  while (!directory.has_complete_list() || (must_wait() && Now() < deadline))
    co_await loop.Sleep(kReadinessPollInterval);
  server.Start();
  operations.set_phase(Operations::Phase::kServing);
  spdlog::info("serving in place of another process");
}

Task<> ShareLimitsWithOtherProcesses(runtime::Loop& loop, const hot_restart::ProcessRegistry& registry,
                                     const Operations& operations, ReloadableState& state) {
  const hot_restart::ProxyLimits limits = ProxyLimitsOf(state.config);  // a reload does not change them
  std::size_t last_other_count = 0;
  int last_process_count = 0;  // 0: not passed to the broker yet
  for (;; co_await loop.Sleep(kProcessRegistryInterval)) {
    const hot_restart::ConnectionUsage own = OwnUsage(operations, state);
    registry.Publish(own);
    const hot_restart::OtherProcesses others = registry.ReadOthers();
    const hot_restart::ProcessLimits share = DivideLimits(limits, own, others);
    state.server.set_max_connections(share.clients);
    state.engines.pool().set_max_connections(share.engines);
    const int process_count = hot_restart::RateBudgetDivisor(own, others);
    if (std::exchange(last_process_count, process_count) != process_count)
      state.broker.SetProcessCount(process_count);
    if (std::exchange(last_other_count, others.processes) == others.processes) continue;
    spdlog::info(
        "{} other processes of this proxy live: at most {} connections to clients, {} to engines now",
        last_other_count, share.clients, share.engines);
  }
}

}  // namespace lemoncroft::proxy
