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
  out.max_clock_drift = plan.drift;
  return out;
}

Version Number(const std::string& data) { return std::strtoull(data.c_str() + 4, nullptr, 10); }

}  // namespace

LeaseFleet::LeaseFleet(const Plan& plan) : plan_(plan), voters_(VotersOf(plan)), random_(plan.seed + 1) {
  leaders_.assign(plan.voters, Leader(plan.lease_options));
  for (std::size_t i = 0; i < plan.proxies; ++i) {
    Proxy& proxy = proxies_.emplace_back(plan.lease_options);
    proxy.rate = 1 + plan.drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
    proxy.origin = replicated_config::Time(Instant(static_cast<Instant::rep>(random_() % 1'000'000'000'000)));
    proxy.ask_at = Instant(static_cast<Instant::rep>(random_() % 250'000'000));
    proxy.fetch_delay = plan.fetch_delay;
  }
  voters_.on_committed = [this](std::size_t i, const raft::Entry& entry) {
    if (entry.kind != raft::EntryKind::kData) return;
    Leader& leader = leaders_[i];
    Version& version = entry.data.starts_with("doc") ? leader.latest_version : leader.active_version;
    version = std::max(version, Number(entry.data));
  };
}

replicated_config::Time LeaseFleet::Local(const Proxy& proxy) const {
  return proxy.origin +
         Instant(static_cast<Instant::rep>(static_cast<double>(voters_.now().count()) * proxy.rate));
}

std::optional<Version> LeaseFleet::Propose() {
  const auto leader = voters_.Leader();
  if (!leader) return std::nullopt;
  voters_.Propose(*leader, "doc " + std::to_string(++proposed_));
  return proposed_;
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

void LeaseFleet::Handle(const ScheduledEvent& h) {
  Proxy& proxy = proxies_[h.proxy];
  const auto voter = static_cast<Node>(h.voter), machine = static_cast<Node>(h.proxy);
  if (h.renewal) {
    Leader& leader = leaders_[h.voter];
    if (!voters_.IsRunning(h.voter) || leader.term != voters_.raft(h.voter).term()) return;
    const auto grant = leader.grantor.HandleRenewal(
        voters_.LocalNow(h.voter), voters_.HoldsLeaderLease(h.voter), std::to_string(h.proxy), *h.renewal,
        leader.active_version, leader.latest_version);
    if (!grant) return;
    ScheduledEvent answer;
    answer.proxy = h.proxy;
    answer.voter = h.voter;
    answer.grant = grant;
    const auto put = [&](Instant at, const std::string&) {
      answer.at = at;
      answer.order = order_++;
      queue_.push(answer);
    };
    if (voter == machine)
      put(now(), {});
    else
      links().Send(now(), voter, machine, {}, put);
    return;
  }
  if (proxy.stalled_until > now()) {
    ScheduledEvent later = h;
    later.at = proxy.stalled_until;
    later.order = order_++;
    queue_.push(later);
    return;
  }
  if (h.fetched_version > 0) {
    proxy.fetching_version = 0;
    proxy.holder.MarkPrepared(h.fetched_version);
    proxy.ask_at = now();  // reports it at once
    return;
  }
  proxy.holder.HandleGrant(Local(proxy), *h.grant);
  if (proxy.holder.latest_version() > proxy.holder.prepared_version() && proxy.fetching_version == 0 &&
      links().Open(machine, voter)) {
    proxy.fetching_version = proxy.holder.latest_version();
    ScheduledEvent fetched_version;
    fetched_version.at = now() + proxy.fetch_delay;
    fetched_version.order = order_++;
    fetched_version.proxy = h.proxy;
    fetched_version.fetched_version = proxy.fetching_version;
    queue_.push(fetched_version);
  }
}

void LeaseFleet::RunFor(Instant span) {
  const Instant until = now() + span;
  while (now() < until) {
    voters_.RunFor(kTick);
    for (std::size_t i = 0; i < plan_.voters; ++i) RunLeaderDuties(i);
    // A process that is resumed acts first, and handles its messages and timers afterwards.
    RecordUse();
    for (std::size_t p = 0; p < proxies_.size(); ++p) {
      Proxy& proxy = proxies_[p];
      if (proxy.stalled_until > now()) continue;
      proxy.holder.Tick(Local(proxy));
      if (proxy.ask_at > now()) continue;
      proxy.ask_at = now() + plan_.lease_options.renewal_interval;
      ScheduledEvent ask;
      ask.proxy = p;
      ask.renewal = proxy.holder.RequestRenewal(Local(proxy));
      for (std::size_t v = 0; v < plan_.voters; ++v) {
        ask.voter = v;
        const auto put = [&](Instant at, const std::string&) {
          ask.at = at;
          ask.order = order_++;
          queue_.push(ask);
        };
        if (v == p)
          put(now(), {});
        else
          links().Send(now(), static_cast<Node>(p), static_cast<Node>(v), {}, put);
      }
    }
    while (!queue_.empty() && queue_.top().at <= now()) {
      const ScheduledEvent h = queue_.top();
      queue_.pop();
      Handle(h);
    }
  }
}

std::optional<Version> LeaseFleet::UsableVersion(std::size_t proxy) const {
  const Proxy& one = proxies_[proxy];
  return one.stalled_until > now() ? std::nullopt : one.holder.UsableVersion(Local(one));
}

void LeaseFleet::RecordUse() {
  std::set<Version> versions;
  for (std::size_t p = 0; p < proxies_.size(); ++p) {
    if (const auto version = UsableVersion(p)) {
      versions.insert(*version);
      first_acted_.try_emplace(*version, now());
      const auto later = first_acted_.upper_bound(*version);
      if (later != first_acted_.end() && now() - later->second > plan_.stale_limit) ++stale_;
    }
    const Proxy& one = proxies_[p];
    const bool leased = Local(one) < one.holder.lease_expiry() && one.stalled_until <= now();
    if (leased && one.holder.prepared_version() < one.holder.active_version()) ++uses_without_document_;
  }
  if (versions.size() < 2) {
    contradiction_since_.reset();
    return;
  }
  if (!contradiction_since_) contradiction_since_ = now();
  longest_contradiction_ = std::max(longest_contradiction_, now() - *contradiction_since_ + kTick);
}

bool LeaseFleet::ActiveEverywhere(Version version) const {
  for (std::size_t p = 0; p < proxies_.size(); ++p)
    if (UsableVersion(p) != version) return false;
  return true;
}

}  // namespace lemoncroft::simulation
