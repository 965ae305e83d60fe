// A jammed engine: it accepts attempts, responds to none, and may go on working after a cancellation.
#include <gtest/gtest.h>

#include <algorithm>

#include "gateway_host.h"

namespace lemoncroft {
namespace {

constexpr EngineId kJammed = 1;
constexpr Nanos kWork = 100 * kMs;

std::vector<EngineEntry> Engines(EngineId count) {
  std::vector<EngineEntry> entries;
  for (EngineId id = 1; id <= count; ++id) entries.push_back(Ready(id));
  return entries;
}

Settings WithoutReports() {
  Settings settings = SomeSettings();
  settings.report_fields.clear();
  return settings;
}

// Plays so many requests, one in 20 ms; the jammed engine responds to none. Returns its attempts.
int PlayBesideJam(Host& host, RequestId first, int requests) {
  int jammed = 0;
  std::map<RequestId, Nanos> answers;  // that come later
  for (int i = 0; i < requests; ++i) {
    const RequestId id = first + static_cast<RequestId>(i);
    host.Step({Ask(id, 0, 4 * kSecond, kWork)});
    host.RunUntil(host.now + 20 * kMs);
    std::vector<RequestId> called_off;
    for (const RequestId open : host.cancels)
      if (host.engine_of[open] == kJammed && host.Attempts(open) == 1) called_off.push_back(open);
    for (const RequestId open : called_off) {
      ++jammed;
      host.End(open, Outcome::kCancelled);  // goes on at another engine
      if (host.engine_of[open] != kJammed) host.End(open, Outcome::kOk, kWork);
    }
    if (host.engine_of[id] != kJammed) host.End(id, Outcome::kOk, kWork);
  }
  return jammed;
}

TEST(EngineJam, AnEngineWhoseAttemptsAreCalledOffIsEjected) {
  Host host(WithoutReports());
  host.List(Engines(4));
  PlayBesideJam(host, 1, 200);
  const auto before = host.sends.size();
  PlayBesideJam(host, 1000, 400);  // 8 s: two openings of 4 s, each with one attempt for its trial
  int late = 0;
  for (std::size_t i = before; i < host.sends.size(); ++i) late += host.sends[i].engine == kJammed;
  EXPECT_LE(late, 5);
}

// The work of an abandoned attempt may go on: the engine is loaded though no attempt is in flight there.
TEST(EngineJam, WhatWasGivenUpWeighsOnItsEngine) {
  Host host(WithoutReports());
  host.List(Engines(1));
  for (RequestId id = 1; id <= 4; ++id) host.Step({Ask(id, 0, 5 * kSecond, 2 * kSecond)});
  ASSERT_EQ(host.sends.size(), 4u);
  for (RequestId id = 1; id <= 4; ++id) {
    host.Step({RequestCancelled{id}});
    host.End(id, Outcome::kCancelled, kMs, 0, true);
  }
  host.List(Engines(2));
  int there = 0;
  for (RequestId id = 10; id < 30; ++id) {
    host.Step({Ask(id)});
    there += host.engine_of[id] == 1;
    host.End(id, Outcome::kOk, kWork);
  }
  EXPECT_EQ(there, 0);
}

// All gateways prefer the same engines for a table group, and each sees only its own part of their load.
TEST(EngineJam, AHomeIsPreferredOnlyUpToWhatFillsIt) {
  constexpr int kRequests = 1000, kFirst = 3000;  // until the demand that a start assumes is forgotten
  Settings settings = WithoutReports();
  settings.gateway_count = 8;
  Host host(settings);
  host.List(Engines(20));
  std::map<EngineId, int> sent;
  for (RequestId id = 1; id <= kFirst + kRequests; ++id) {
    Request request = Ask(id);
    request.table_group = 7;  // all of one group
    host.Step({request});
    if (id > kFirst) ++sent[host.engine_of[id]];
    host.End(id, Outcome::kOk, kWork);
    host.now += 10 * kMs;
  }
  int most = 0;
  for (const auto& [engine, count] : sent) most = std::max(most, count);
  // 100 requests a second and gateway of 0.1 s: 8 x 10 of 160 cores, so that twice the mean fills an engine.
  EXPECT_LE(most, 2.5 * kRequests / 20);
  EXPECT_GE(most, 1.5 * kRequests / 20) << "a home is preferred, by more than where engines are full";
}

}  // namespace
}  // namespace lemoncroft
