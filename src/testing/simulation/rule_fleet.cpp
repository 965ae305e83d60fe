#include "testing/simulation/rule_fleet.h"

#include <algorithm>

namespace lemoncroft::simulation {

using namespace std::chrono_literals;
using replicated_config::Version;

namespace {

constexpr Instant kTick = 5ms;  // at which acts are noted

RaftCluster::Plan VotersOf(const RuleFleet::Plan& plan) {
  RaftCluster::Plan out;
  out.seed = plan.seed;
  out.members = out.initial_voters = plan.voters;
  out.max_clock_drift = plan.drift;
  return out;
}

Version Number(const std::string& data) { return std::strtoull(data.c_str() + 4, nullptr, 10); }

}  // namespace

RuleFleet::RuleFleet(const Plan& plan) : plan_(plan), voters_(VotersOf(plan)), random_(plan.seed + 1) {
  leaders_.assign(plan.voters, Leader(plan.terms));
  for (std::size_t i = 0; i < plan.proxies; ++i) {
    Proxy& proxy = proxies_.emplace_back(plan.terms);
    proxy.rate = 1 + plan.drift * (2 * static_cast<double>(random_() >> 11) * 0x1.0p-53 - 1);
    proxy.origin = replicated_config::Time(Instant(static_cast<Instant::rep>(random_() % 1'000'000'000'000)));
    proxy.ask_at = Instant(static_cast<Instant::rep>(random_() % 250'000'000));
    proxy.fetch = plan.fetch;
  }
  voters_.on_committed = [this](std::size_t i, const raft::Entry& entry) {
    if (entry.kind != raft::EntryKind::kData) return;
    Leader& leader = leaders_[i];
    Version& version = entry.data.starts_with("doc") ? leader.newest : leader.in_force;
    version = std::max(version, Number(entry.data));
  };
}

replicated_config::Time RuleFleet::Local(const Proxy& proxy) const {
  return proxy.origin +
         Instant(static_cast<Instant::rep>(static_cast<double>(voters_.now().count()) * proxy.rate));
}

std::optional<Version> RuleFleet::Propose() {
  const auto leader = voters_.Leader();
  if (!leader) return std::nullopt;
  voters_.Propose(*leader, "doc " + std::to_string(++proposed_));
  return proposed_;
}

void RuleFleet::Stall(std::size_t proxy, Instant span) {
  proxies_[proxy].held_until = now() + span;
  if (proxy < plan_.voters) voters_.Stall(proxy, span);
}

void RuleFleet::RestartVoter(std::size_t i) {
  leaders_[i] = Leader(plan_.terms);
  if (!voters_.IsRunning(i)) voters_.Restart(i);
}

void RuleFleet::Lead(std::size_t i) {
  Leader& leader = leaders_[i];
  if (!voters_.IsRunning(i) || voters_.raft(i).role() != raft::Role::kLeader) return;
  const replicated_config::Time local = voters_.LocalNow(i);
  if (leader.term != voters_.raft(i).term()) {
    leader.term = voters_.raft(i).term();
    leader.forcing = 0;
    leader.granter.Begin(local, leader.term);
  }
  if (leader.newest <= std::max(leader.in_force, leader.forcing)) return;
  if (!leader.granter.MayEnforce(local, voters_.HoldsLeaderLease(i), leader.newest)) return;
  leader.forcing = leader.newest;
  voters_.Propose(i, "for " + std::to_string(leader.newest));
}

void RuleFleet::Handle(const Happening& h) {
  Proxy& proxy = proxies_[h.proxy];
  const auto voter = static_cast<Node>(h.voter), machine = static_cast<Node>(h.proxy);
  if (h.renewal) {
    Leader& leader = leaders_[h.voter];
    if (!voters_.IsRunning(h.voter) || leader.term != voters_.raft(h.voter).term()) return;
    const auto grant =
        leader.granter.Answer(voters_.LocalNow(h.voter), voters_.HoldsLeaderLease(h.voter),
                              std::to_string(h.proxy), *h.renewal, leader.in_force, leader.newest);
    if (!grant) return;
    Happening answer;
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
  if (proxy.held_until > now()) {
    Happening later = h;
    later.at = proxy.held_until;
    later.order = order_++;
    queue_.push(later);
    return;
  }
  if (h.fetched > 0) {
    proxy.fetching = 0;
    proxy.holder.Prepared(h.fetched);
    proxy.ask_at = now();  // the leader need not wait for a beat to hear of it
    return;
  }
  proxy.holder.Take(Local(proxy), *h.grant);
  if (proxy.holder.newest() > proxy.holder.prepared() && proxy.fetching == 0 &&
      links().Open(machine, voter)) {
    proxy.fetching = proxy.holder.newest();
    Happening fetched;
    fetched.at = now() + proxy.fetch;
    fetched.order = order_++;
    fetched.proxy = h.proxy;
    fetched.fetched = proxy.fetching;
    queue_.push(fetched);
  }
}

void RuleFleet::RunFor(Instant span) {
  const Instant until = now() + span;
  while (now() < until) {
    voters_.RunFor(kTick);
    for (std::size_t i = 0; i < plan_.voters; ++i) Lead(i);
    // A process that wakes acts first, and looks at its messages and timers then.
    Note();
    for (std::size_t p = 0; p < proxies_.size(); ++p) {
      Proxy& proxy = proxies_[p];
      if (proxy.held_until > now()) continue;
      proxy.holder.Tick(Local(proxy));
      if (proxy.ask_at > now()) continue;
      proxy.ask_at = now() + plan_.terms.beat;
      Happening ask;
      ask.proxy = p;
      ask.renewal = proxy.holder.Ask(Local(proxy));
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
      const Happening h = queue_.top();
      queue_.pop();
      Handle(h);
    }
  }
}

std::optional<Version> RuleFleet::MayAct(std::size_t proxy) const {
  const Proxy& one = proxies_[proxy];
  return one.held_until > now() ? std::nullopt : one.holder.MayAct(Local(one));
}

void RuleFleet::Note() {
  std::set<Version> versions;
  for (std::size_t p = 0; p < proxies_.size(); ++p) {
    if (const auto version = MayAct(p)) {
      versions.insert(*version);
      first_acted_.try_emplace(*version, now());
      const auto later = first_acted_.upper_bound(*version);
      if (later != first_acted_.end() && now() - later->second > plan_.stated) ++stale_;
    }
    const Proxy& one = proxies_[p];
    const bool leased = Local(one) < one.holder.lease_ends() && one.held_until <= now();
    if (leased && one.holder.prepared() < one.holder.in_force()) ++without_;
  }
  if (versions.size() < 2) {
    apart_since_.reset();
    return;
  }
  if (!apart_since_) apart_since_ = now();
  longest_ = std::max(longest_, now() - *apart_since_ + kTick);
}

bool RuleFleet::InForceEverywhere(Version version) const {
  for (std::size_t p = 0; p < proxies_.size(); ++p)
    if (MayAct(p) != version) return false;
  return true;
}

}  // namespace lemoncroft::simulation
