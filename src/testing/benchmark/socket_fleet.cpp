#include "testing/benchmark/socket_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "peer_transport/link.h"
#include "replicated_config/config_replica.h"
#include "testing/benchmark/allocated_bytes.h"
#include "testing/simulation/processor_time.h"

namespace lemoncroft::benchmark {
namespace {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;
using runtime::Time;

constexpr std::uint32_t kFirstHost = 0x7f100001;  // 127.16.0.1
constexpr std::size_t kSeeds = 3;
constexpr runtime::Duration kStartInterval = 2ms, kPollInterval = 5ms, kSettlePollInterval = 250ms,
                            kLagCheckInterval = 10ms;
constexpr runtime::Duration kChangeTimeout = 10s, kPauseAfterChange = 500ms;
constexpr double kTimedOutMs = 1e9;
constexpr int kFirstPort = 20'000, kPorts = 10'000;  // below the ephemeral port range

std::string NameOf(std::size_t i) { return "h" + std::to_string(i); }
gossip::PeerAddress AddressOf(const SocketFleetPlan& plan, std::size_t i) {
  return {kFirstHost + static_cast<std::uint32_t>(i), plan.port};
}
double Milliseconds(runtime::Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}
double SecondsOf(runtime::Duration span) { return std::chrono::duration<double>(span).count(); }

peer_transport::LinkOptions LinkOptionsOf(const SocketFleetPlan& plan, std::size_t i) {
  peer_transport::LinkOptions options;
  options.fleet = "hollow";
  options.name = NameOf(i);
  options.zone = "z" + std::to_string(i % 20);
  options.listen = options.advertise = {AddressOf(plan, i)};
  options.membership.max_members = std::max(options.membership.max_members, 2 * plan.members);
  for (std::size_t seed = 0; seed < std::min(kSeeds, plan.members); ++seed)
    options.membership.seeds.push_back(AddressOf(plan, seed));
  return options;
}

replicated_config::ConfigReplicaOptions ReplicaOptionsOf(const SocketFleetPlan& plan, std::size_t i) {
  replicated_config::ConfigReplicaOptions options;
  options.name = NameOf(i);
  for (std::size_t voter = 0; voter < plan.voters; ++voter) options.initial_voters.push_back(NameOf(voter));
  return options;
}

replicated_config::DocumentChecks AcceptAllDocuments() {
  using Checked = tl::expected<void, replicated_config::DocumentRejection>;
  return {[](const replicated_config::VersionRecord*, const std::string&) { return Checked(); },
          [](const std::string&) { return Checked(); }, [](const std::string&) { return std::uint64_t{1}; },
          [](const std::string&) { return replicated_config::Duration(); }};
}

// A proxy without clients and engines. The link and the replica are connected as in proxy::Fleet and
// proxy::ReplicatedConfigService.
class BareProxy {
 public:
  BareProxy(runtime::Loop& loop, const SocketFleetPlan& plan, std::size_t i)
      : loop_(loop),
        link_(loop, LinkOptionsOf(plan, i), plan.seed + i, [](const gossip::Event&) {}),
        replica_(ReplicaOptionsOf(plan, i), link_.view().members().self(), AcceptAllDocuments(),
                 plan.seed + i, Now()),
        store_(i < plan.voters ? i + 1 : 0) {
    link_.on_app_message = [this](const peer_transport::AppMessage& app_message) {
      const auto message = replicated_config::DecodeMessage(app_message.bytes);
      if (!message) return;
      replica_.Receive(Now(), app_message.sender, *message);
      ProcessOutputs();
    };
  }

  void Start() {
    link_.Start();
    link_.SetPhase(gossip::Phase::kServing);
    if (store_ != 0) replica_.OnStoreOpened(Now(), {store_, {}, {}});
    ProcessOutputs();
    loop_.Spawn(RunTimer());
  }
  void Propose(const replicated_config::ConfigChange& change) {
    replica_.ProposeChange(Now(), change, Now() + kChangeTimeout);
    ProcessOutputs();
  }
  const gossip::MembershipView& view() const { return link_.view(); }
  const peer_transport::LinkMetrics& metrics() const { return link_.metrics(); }
  bool Uses(replicated_config::Version version) const { return replica_.UsableVersion(Now()) == version; }

 private:
  Task<> RunTimer() {
    for (;;) {
      timer_deadline_ = replica_.NextDeadline();
      if (timer_deadline_ > Now()) co_await runtime::Waiter(loop_, &timer_changed_, timer_deadline_);
      timer_deadline_ = runtime::kNever;
      if (replica_.NextDeadline() <= Now()) {
        replica_.Tick(Now());
        ProcessOutputs();
      }
      co_await loop_.NextTurn();
    }
  }

  void ProcessOutputs() {
    const gossip::MemberTable& members = view().members();
    if (std::exchange(peers_change_count_, members.change_count()) != members.change_count())
      replica_.SetPeers(members.others());
    for (auto outputs = replica_.TakeOutputs(); !outputs.empty(); outputs = replica_.TakeOutputs())
      for (const replicated_config::ConfigReplicaOutput& output : outputs) ProcessOutputs(output);
    if (replica_.NextDeadline() < timer_deadline_) timer_changed_.Notify();
  }

  void ProcessOutputs(const replicated_config::ConfigReplicaOutput& output) {
    if (const auto* send = std::get_if<replicated_config::SendMessage>(&output)) {
      if (const gossip::Member* to = FindMember(send->to))
        link_.Send(to->record.address, peer_transport::Subsystem::kReplicatedConfig,
                   replicated_config::Encode(send->message));
    } else if (const auto* persist = std::get_if<replicated_config::Persist>(&output)) {
      replica_.OnPersisted(Now(), persist->update.sequence);
    } else if (std::holds_alternative<replicated_config::PersistBootstrapVoters>(output)) {
      replica_.OnBootstrapVotersPersisted(Now());
    } else if (const auto* document = std::get_if<replicated_config::DocumentReceived>(&output)) {
      replica_.MarkPrepared(Now(), document->version);
    }
  }

  const gossip::Member* FindMember(
      const std::variant<raft::NodeId, replicated_config::InstanceId>& to) const {
    const gossip::MemberTable& members = view().members();
    if (const auto* instance = std::get_if<replicated_config::InstanceId>(&to))
      return members.Find(*instance);
    for (const auto& [id, member] : members.all())
      if (member.record.name == std::get<raft::NodeId>(to)) return &member;
    return nullptr;
  }

  runtime::Loop& loop_;
  peer_transport::Link link_;
  replicated_config::ConfigReplica replica_;
  std::uint64_t store_;
  std::uint64_t peers_change_count_ = 0;  // change count of the member table at the last call of SetPeers
  runtime::ConditionVariable timer_changed_;
  Time timer_deadline_ = runtime::kNever;
};

// Bytes sent by all members and processor time used since the start.
struct Totals {
  double datagram_bytes = 0, sync_bytes = 0, app_message_bytes = 0, processor_us = 0;
};

class SocketFleetRun {
 public:
  explicit SocketFleetRun(const SocketFleetPlan& plan) : plan_(plan) {}

  SocketFleetCost Run() {
    loop_.Spawn(Script());
    loop_.Spawn(WatchLag());
    loop_.Run();
    return cost_;
  }

 private:
  Task<> Script() {
    const Time started_at = Now();
    const double bytes_before = AllocatedBytes();
    for (std::size_t i = 0; i < plan_.members; ++i) {
      proxies_.push_back(std::make_unique<BareProxy>(loop_, plan_, i));
      proxies_.back()->Start();
      co_await loop_.Sleep(kStartInterval);
    }
    while (!Settled() && Now() < started_at + plan_.settle_timeout) co_await loop_.Sleep(kSettlePollInterval);
    cost_.settled = Settled();
    cost_.settled_after_s = SecondsOf(Now() - started_at);
    const double view_entries = static_cast<double>(plan_.members) * static_cast<double>(plan_.members);
    cost_.bytes_per_member = (AllocatedBytes() - bytes_before) / view_entries;
    if (cost_.settled) {
      measuring_ = true;
      co_await MeasureIdle();
      for (std::size_t i = 0; i < plan_.changes; ++i) co_await MeasureChange(i);
      measuring_ = false;
    }
    cost_.is_inconclusive = cost_.longest_lag_ms > Milliseconds(kMaxLoopLag);
    loop_.Stop();
  }

  Task<> MeasureIdle() {
    const Totals before = TotalsNow();
    const Time since = Now();
    if (plan_.loop_block_duration > 0ms) std::this_thread::sleep_for(plan_.loop_block_duration);
    co_await loop_.Sleep(plan_.idle_duration);
    const Totals after = TotalsNow();
    const double member_seconds = static_cast<double>(plan_.members) * SecondsOf(Now() - since);
    cost_.datagram_bytes_per_s = (after.datagram_bytes - before.datagram_bytes) / member_seconds;
    cost_.view_bytes_per_s =
        cost_.datagram_bytes_per_s + (after.sync_bytes - before.sync_bytes) / member_seconds;
    cost_.lease_bytes_per_s = (after.app_message_bytes - before.app_message_bytes) / member_seconds;
    cost_.core_percent = (after.processor_us - before.processor_us) / 1e4 / member_seconds;
  }

  Task<> MeasureChange(std::size_t number) {
    replicated_config::ConfigChange change;
    change.id = "c" + std::to_string(number);
    change.base_version = number;
    change.document.assign(plan_.document_bytes, static_cast<char>('a' + number % 26));
    change.author = NameOf(0);
    const Time since = Now();
    proxies_[number * 7919 % proxies_.size()]->Propose(change);
    while (!AllUse(number + 1) && Now() < since + kChangeTimeout) co_await loop_.Sleep(kPollInterval);
    cost_.activation_ms.push_back(AllUse(number + 1) ? Milliseconds(Now() - since) : kTimedOutMs);
    co_await loop_.Sleep(kPauseAfterChange);
  }

  Task<> WatchLag() {
    for (;;) {
      const Time due = Now() + kLagCheckInterval;
      co_await loop_.SleepUntil(due);
      if (measuring_) cost_.longest_lag_ms = std::max(cost_.longest_lag_ms, Milliseconds(Now() - due));
    }
  }

  bool Settled() const {
    const std::uint64_t digest = proxies_.front()->view().members().digest();
    return std::all_of(proxies_.begin(), proxies_.end(),
                       [&](const auto& proxy) {
                         const gossip::MemberTable& members = proxy->view().members();
                         return members.digest() == digest && members.unconfirmed().empty();
                       }) &&
           proxies_.front()->view().members().live_count() == plan_.members && AllUse(0);
  }
  bool AllUse(replicated_config::Version version) const {
    return std::all_of(proxies_.begin(), proxies_.end(),
                       [&](const auto& proxy) { return proxy->Uses(version); });
  }

  Totals TotalsNow() const {
    Totals totals;
    for (const auto& proxy : proxies_) {
      totals.datagram_bytes += static_cast<double>(proxy->metrics().sent_bytes);
      totals.sync_bytes += static_cast<double>(proxy->metrics().sync_bytes);
      totals.app_message_bytes += static_cast<double>(proxy->metrics().app_message_bytes);
    }
    totals.processor_us = simulation::ProcessorMicroseconds();
    return totals;
  }
  const SocketFleetPlan& plan_;
  SocketFleetCost cost_;
  bool measuring_ = false;
  runtime::Loop loop_;  // Run() ends its tasks before the proxies that they use are destroyed
  std::vector<std::unique_ptr<BareProxy>> proxies_;
};

}  // namespace

SocketFleetCost MeasureSocketFleet(const SocketFleetPlan& plan) {
  SocketFleetPlan resolved = plan;
  if (resolved.port == 0) resolved.port = static_cast<std::uint16_t>(kFirstPort + ::getpid() % kPorts);
  return SocketFleetRun(resolved).Run();
}

}  // namespace lemoncroft::benchmark
