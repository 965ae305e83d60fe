#include "testing/simulation/lease_fleet.h"

#include <algorithm>

namespace lemoncroft::simulation {

using namespace std::chrono_literals;
using replicated_config::Version;

namespace {

constexpr Instant kTick = 5ms;  // interval at which usable versions are recorded

RaftCluster::Plan VotersOf(const LeaseFleet::Plan& plan) {
  RaftCluster::Plan out;
  out.seed = plan.seed;
  out.members = out.initial_voters = plan.voters;
  out.max_clock_drift = plan.max_clock_drift;
  return out;
}

Version VersionOf(const std::string& data) { return std::strtoull(data.c_str() + 4, nullptr, 10); }

}  // namespace

LeaseFleet::LeaseFleet(const Plan& plan)
    : plan_(plan), voters_(VotersOf(plan)), random_(plan.seed + 1), version_uses_(kTick, plan.stale_limit) {
  leaders_.assign(plan.voters, Leader(plan.lease_options));
  for (std::size_t i = 0; i < plan.proxies; ++i) {
    Proxy& proxy = proxies_.emplace_back(plan.lease_options);
    proxy.clock_rate = 1 + plan.max_clock_drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
    proxy.clock_origin =
        replicated_config::Time(Instant(static_cast<Instant::rep>(random_() % 1'000'000'000'000)));
    proxy.renew_at = Instant(static_cast<Instant::rep>(random_() % 250'000'000));
    proxy.fetch_delay = plan.fetch_delay;
  }
  voters_.on_committed = [this](std::size_t i, const raft::Entry& entry) {
    if (entry.kind != raft::EntryKind::kData) return;
    Leader& leader = leaders_[i];
    Version& version = entry.data.starts_with("doc") ? leader.latest_version : leader.active_version;
    version = std::max(version, VersionOf(entry.data));
  };
}

replicated_config::Time LeaseFleet::LocalTime(const Proxy& proxy) const {
  return proxy.clock_origin +
         Instant(static_cast<Instant::rep>(static_cast<double>(voters_.now().count()) * proxy.clock_rate));
}

std::optional<Version> LeaseFleet::Propose() {
  const auto leader = voters_.Leader();
  if (!leader) return std::nullopt;
  voters_.Propose(*leader, "doc " + std::to_string(++last_proposed_version_));
  return last_proposed_version_;
}

void LeaseFleet::Stall(std::size_t proxy, Instant span) {
  proxies_[proxy].stalled_until = now() + span;
  if (proxy < plan_.voters) voters_.Stall(proxy, span);
}

void LeaseFleet::RestartVoter(std::size_t i) {
  leaders_[i] = Leader(plan_.lease_options);
  if (!voters_.IsRunning(i)) voters_.Restart(i);
}

void LeaseFleet::RunLeaderDuties(std::size_t i) {
  Leader& leader = leaders_[i];
  if (!voters_.IsRunning(i) || voters_.raft(i).role() != raft::Role::kLeader) return;
  const replicated_config::Time local = voters_.LocalNow(i);
  if (leader.term != voters_.raft(i).term()) {
    leader.term = voters_.raft(i).term();
    leader.activating_version = 0;
    leader.grantor.BeginLeadership(local, leader.term);
  }
  if (leader.latest_version <= std::max(leader.active_version, leader.activating_version)) return;
  if (!leader.grantor.MayActivate(local, voters_.HoldsLeaderLease(i), leader.latest_version)) return;
  leader.activating_version = leader.latest_version;
  voters_.Propose(i, "for " + std::to_string(leader.latest_version));
}

void LeaseFleet::HandleRenewal(const ScheduledEvent& event) {
  const auto voter = static_cast<Node>(event.voter), machine = static_cast<Node>(event.proxy);
  Leader& leader = leaders_[event.voter];
  if (!voters_.IsRunning(event.voter) || leader.term != voters_.raft(event.voter).term()) return;
  const auto grant = leader.grantor.HandleRenewal(
      voters_.LocalNow(event.voter), voters_.HoldsLeaderLease(event.voter), std::to_string(event.proxy),
      *event.renewal, leader.active_version, leader.latest_version);
  if (!grant) return;
  ScheduledEvent response;
  response.proxy = event.proxy;
  response.voter = event.voter;
  response.grant = grant;
  const auto deliver = [&](Instant at, const std::string&) {
    response.at = at;
    response.order = next_event_order_++;
    events_.push(response);
  };
  if (voter == machine)
    deliver(now(), {});
  else
    links().Send(now(), voter, machine, {}, deliver);
}

void LeaseFleet::HandleGrant(const ScheduledEvent& event) {
  Proxy& proxy = proxies_[event.proxy];
  proxy.holder.HandleGrant(LocalTime(proxy), *event.grant);
  const bool prepared = proxy.holder.latest_version() <= proxy.holder.prepared_version();
  if (prepared || proxy.fetching_version != 0) return;
  if (!links().IsOpen(static_cast<Node>(event.proxy), static_cast<Node>(event.voter))) return;
  proxy.fetching_version = proxy.holder.latest_version();
  ScheduledEvent fetched;
  fetched.at = now() + proxy.fetch_delay;
  fetched.order = next_event_order_++;
  fetched.proxy = event.proxy;
  fetched.fetched_version = proxy.fetching_version;
  events_.push(fetched);
}

void LeaseFleet::Handle(const ScheduledEvent& event) {
  if (event.renewal) return HandleRenewal(event);
  Proxy& proxy = proxies_[event.proxy];
  if (proxy.stalled_until > now()) {
    ScheduledEvent later = event;
    later.at = proxy.stalled_until;
    later.order = next_event_order_++;
    events_.push(later);
    return;
  }
  if (event.fetched_version > 0) {
    proxy.fetching_version = 0;
    proxy.holder.MarkPrepared(event.fetched_version);
    proxy.renew_at = now();  // to report the prepared version immediately
    return;
  }
  HandleGrant(event);
}

void LeaseFleet::RequestRenewals() {
  for (std::size_t p = 0; p < proxies_.size(); ++p) {
    Proxy& proxy = proxies_[p];
    if (proxy.stalled_until > now()) continue;
    proxy.holder.Tick(LocalTime(proxy));
    if (proxy.renew_at > now()) continue;
    proxy.renew_at = now() + plan_.lease_options.renewal_interval;
    ScheduledEvent request;
    request.proxy = p;
    request.renewal = proxy.holder.RequestRenewal(LocalTime(proxy));
    for (std::size_t v = 0; v < plan_.voters; ++v) {
      request.voter = v;
      const auto deliver = [&](Instant at, const std::string&) {
        request.at = at;
        request.order = next_event_order_++;
        events_.push(request);
      };
      if (v == p)
        deliver(now(), {});
      else
        links().Send(now(), static_cast<Node>(p), static_cast<Node>(v), {}, deliver);
    }
  }
}

void LeaseFleet::RunFor(Instant span) {
  const Instant until = now() + span;
  while (now() < until) {
    voters_.RunFor(kTick);
    for (std::size_t i = 0; i < plan_.voters; ++i) RunLeaderDuties(i);
    // Observes the use before processes that have just resumed handle the messages and timers that they
    // missed.
    ObserveUse();
    RequestRenewals();
    while (!events_.empty() && events_.top().at <= now()) {
      const ScheduledEvent event = events_.top();
      events_.pop();
      Handle(event);
    }
  }
}

std::optional<Version> LeaseFleet::UsableVersion(std::size_t proxy) const {
  const Proxy& state = proxies_[proxy];
  return state.stalled_until > now() ? std::nullopt : state.holder.UsableVersion(LocalTime(state));
}

void LeaseFleet::ObserveUse() {
  std::vector<Version> usable;
  for (std::size_t p = 0; p < proxies_.size(); ++p) {
    if (const auto version = UsableVersion(p)) usable.push_back(*version);
    const Proxy& proxy = proxies_[p];
    const bool has_lease = LocalTime(proxy) < proxy.holder.lease_expiry() && proxy.stalled_until <= now();
    if (has_lease && proxy.holder.prepared_version() < proxy.holder.active_version())
      ++uses_without_document_;
  }
  version_uses_.Observe(now(), usable);
}

bool LeaseFleet::ActiveEverywhere(Version version) const {
  for (std::size_t p = 0; p < proxies_.size(); ++p)
    if (UsableVersion(p) != version) return false;
  return true;
}

}  // namespace lemoncroft::simulation
