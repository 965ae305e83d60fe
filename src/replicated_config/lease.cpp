#include "replicated_config/lease.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::replicated_config {
namespace {

constexpr std::size_t kAskedMost = 16;                  // renewals without an answer
constexpr std::size_t kBooksSwept = 64;                 // from so many on, those that are over are dropped
constexpr std::size_t kPairsMost = 11;                  // ten beats of comparing clocks
constexpr Span kNoise = std::chrono::milliseconds(20);  // a message's way, in a comparison of clocks

Span Scaled(Span span, double by) {
  return Span(static_cast<Span::rep>(static_cast<double>(span.count()) * by));
}

}  // namespace

// ---- Holder ----

Renewal Holder::Ask(Time now) {
  asked_[++number_] = now;
  while (asked_.size() > kAskedMost) asked_.erase(asked_.begin());
  return {number_, prepared_};
}

void Holder::Take(Time now, const Grant& grant) {
  const auto asked = asked_.find(grant.number);
  if (asked == asked_.end()) return;  // not asked for, answered before, or too long ago
  const Time since = terms_.guards.from_asking ? asked->second : now;
  asked_.erase(asked_.begin(), std::next(asked));
  CompareRates(now, grant);
  newest_ = std::max(newest_, grant.newest);
  if (grant.in_force < in_force_ && terms_.guards.never_back) return;  // of a leader that was
  in_force_ = grant.in_force;
  const Span lease =
      terms_.guards.shorter_by_rates ? Scaled(terms_.lease, 1 - terms_.rates_differ) : terms_.lease;
  const Time ends = since + lease;
  ends_ = std::max(ends_, ends);
  ticked_ = true;
}

void Holder::CompareRates(Time now, const Grant& grant) {
  if (reign_ != grant.reign) pairs_.clear();
  reign_ = grant.reign;
  pairs_.push_back({now, grant.leaders_clock});
  if (pairs_.size() > kPairsMost) pairs_.pop_front();
  if (pairs_.size() < kPairsMost) return;
  const Span own = pairs_.back().own - pairs_.front().own;
  const Span leaders = pairs_.back().leaders - pairs_.front().leaders;
  const Span apart = own > leaders ? own - leaders : leaders - own;
  apart_ = apart > Scaled(own, terms_.rates_differ) + kNoise;
}

void Holder::Prepared(Version version) { prepared_ = std::max(prepared_, version); }

std::optional<Version> Holder::MayAct(Time now) const {
  const bool leased = terms_.guards.checked_at_act ? now < ends_ : ticked_;
  if (!leased || apart_ || prepared_ < in_force_) return std::nullopt;
  return in_force_;
}

// ---- Granter ----

void Granter::Begin(Time now, std::uint64_t reign) {
  begun_ = now;
  reign_ = reign;
  books_.clear();
  by_prepared_.clear();
}

void Granter::Book(const std::string& holder, const Booked& booked) {
  const auto known = books_.find(holder);
  if (known != books_.end()) {
    const auto group = by_prepared_.find(known->second.prepared);
    group->second.erase({known->second.until, holder});
    if (group->second.empty()) by_prepared_.erase(group);
  }
  books_[holder] = booked;
  by_prepared_[booked.prepared].emplace(booked.until, holder);
}

void Granter::DropOver(Time now) {
  for (auto group = by_prepared_.begin(); group != by_prepared_.end();) {
    std::set<Until>& leases = group->second;
    while (!leases.empty() && leases.begin()->first <= now) {
      books_.erase(leases.begin()->second);
      leases.erase(leases.begin());
    }
    group = leases.empty() ? by_prepared_.erase(group) : std::next(group);
  }
}

bool Granter::AnyBehind(Time now, Version version) const {
  for (const auto& [prepared, leases] : by_prepared_) {
    if (prepared >= version) return false;
    if (leases.rbegin()->first > now) return true;
  }
  return false;
}

std::optional<Grant> Granter::Answer(Time now, bool leads, const std::string& from, const Renewal& renewal,
                                     Version in_force, Version newest) {
  if (!leads && terms_.guards.only_while_leading) return std::nullopt;
  // It holds from when it asked, which was before now; its clock may be slower than this one.
  const Span lease =
      terms_.guards.shorter_by_rates ? Scaled(terms_.lease, 1 + terms_.rates_differ) : terms_.lease;
  if (books_.size() > kBooksSwept) DropOver(now);
  const auto known = books_.find(from);
  const Version before = known == books_.end() ? 0 : known->second.prepared;
  Book(from, {now + lease, std::max(before, renewal.prepared)});
  return Grant{renewal.number, in_force, newest, now - begun_, reign_};
}

bool Granter::MayEnforce(Time now, bool leads, Version version) const {
  if (!leads && terms_.guards.only_while_leading) return false;
  const Span books = Scaled(terms_.lease, 1 + 2 * terms_.rates_differ);
  if (now < begun_ + books && terms_.guards.wait_after_election) return false;
  return !terms_.guards.wait_for_prepared || !AnyBehind(now, version);
}

std::map<std::string, Version> Granter::Missing(Time now, Version version) const {
  std::map<std::string, Version> missing;
  for (const auto& [name, booked] : books_)
    if (booked.until > now && booked.prepared < version) missing[name] = booked.prepared;
  return missing;
}

std::map<std::string, Version> Granter::Live(Time now) const {
  std::map<std::string, Version> live;
  for (const auto& [name, booked] : books_)
    if (booked.until > now) live[name] = booked.prepared;
  return live;
}

// ---- For a search of states ----

std::string Holder::Canonical(Time now) const {
  const auto left = [now](Time at) { return std::to_string(std::max<Span::rep>(0, (at - now).count())); };
  std::string out = std::to_string(number_) + "," + std::to_string(in_force_) + "," +
                    std::to_string(newest_) + "," + std::to_string(prepared_) + "," + left(ends_) +
                    (ticked_ ? "t" : "");
  for (const auto& [number, at] : asked_)
    out += ";" + std::to_string(number) + ":" + std::to_string((now - at).count());
  return out;
}

std::string Granter::Canonical(Time now, const std::string& holder) const {
  const Span longest = 2 * terms_.lease;  // past it nothing differs any more
  if (holder.empty())
    return std::to_string(std::min(longest, now - begun_).count()) + "," + std::to_string(reign_);
  const auto it = books_.find(holder);
  if (it == books_.end()) return "-";
  const bool live = it->second.until > now;
  return live ? std::to_string((it->second.until - now).count()) + ":" + std::to_string(it->second.prepared)
              : "over:" + std::to_string(it->second.prepared);
}

}  // namespace lemoncroft::replicated_config
