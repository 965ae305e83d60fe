// Lists of engines, proxies and names far longer than those of today's sites.
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "codec/json.h"
#include "discovery/endpoint_directory.h"
#include "discovery/endpoint_watch.h"
#include "gossip/membership_view.h"
#include "hot_restart/ejection_store.h"
#include "peer_transport/frame.h"
#include "proxy/config.h"
#include "replicated_config/config_state_machine.h"
#include "replicated_config/document.h"
#include "runtime/loop.h"
#include "runtime/socket.h"
#include "settings/migration.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;

constexpr int kEngines = 1500, kProxies = 1500, kNames = 1500;

std::string Name(const std::string& what, int number) { return what + "-" + std::to_string(number); }

// A JSON list of `make(0)` to `make(count - 1)`.
template <typename Make>
std::string List(int count, const Make& make) {
  std::string text = "[";
  for (int i = 0; i < count; ++i) text += (i > 0 ? "," : "") + make(i);
  return text + "]";
}

std::string Engines(int first, int count) {
  return List(count, [first](int i) {
    return R"({"id":"s-)" + std::to_string(first + i) + R"(","host_port":"10.1.0.9:5050","locality":"zone-)" +
           std::to_string(i % kNames) +
           R"(","flavor":"std","cell":2,"phase":"Ready","size":4,"up_since_ms":0})";
  });
}

std::string Event(int n, bool complete, const std::string& engines) {
  return R"({"n":)" + std::to_string(n) + R"(,"members":{"complete":)" + (complete ? "true" : "false") +
         R"(,"members":)" + engines + "}}";
}

std::string Document(int n, const std::string& events) {
  return R"({"n":)" + std::to_string(n) + R"(,"events":[)" + events + "]}";
}

// Settings with so many zones, tenants and classes, under names that begin with `prefix`.
std::string ConfigText(const std::string& prefix, const std::string& known) {
  const auto quoted = [](const std::string& name) { return '"' + name + '"'; };
  return R"({"name":"n1","listen":"127.0.0.1:5050","seed":"1","feed":"","known":)" + known +
         R"(,"settings":{"siblings":1500,"me":1499,"flavors":["std"],"dcs":)" +
         List(kNames, [&](int i) { return quoted(Name("zone", i)); }) + R"(,"tenants":)" +
         List(kNames, [&](int i) { return R"({"quotaPerS":1,"name":)" + quoted(Name(prefix, i)) + "}"; }) +
         R"(,"requestClasses":)" +
         List(kNames,
              [&](int i) {
                return R"({"promiseNs":1000000,"deadlineNs":2000000,"name":)" +
                       quoted(Name(prefix + "-class", i)) + R"(,"staysIn":[)" + quoted(Name("zone", i)) +
                       "]}";
              }) +
         R"(,"specifics":{"cpuOfKind":[4]},"limits":{"connectTimeoutNs":250000000,"maxAttempts":3}}})";
}

class Engines1500 : public testing::Test {
 protected:
  bool Apply(const std::string& document) {
    return directory_.Apply(codec::Json::Parse(document), [this](const EngineList& list) { told_ = list; });
  }

  settings::ActiveSettings site_{settings::Site()};
  discovery::EndpointDirectory directory_{site_};
  EngineList told_;
};

TEST(Scale, SettingsWithFifteenHundredNames) {
  const proxy::Config config =
      proxy::ReadConfig(ConfigText("a", Document(1, Event(1, true, Engines(0, kEngines)))));
  EXPECT_TRUE(config.findings.empty()) << config.findings.front().text;
  EXPECT_NO_THROW(proxy::CheckSettings(config));
  ASSERT_EQ(config.site.classes.size(), static_cast<std::size_t>(kNames));
  EXPECT_EQ(config.site.module.classes[kNames - 1].zones, std::vector<std::uint16_t>{kNames - 1});
  EXPECT_EQ(config.site.TenantOf("a-1499"), 1499);
  settings::ActiveSettings site(config.site);
  discovery::EndpointDirectory directory(site);
  EngineList told;
  ASSERT_TRUE(directory.Apply(config.known_events, [&](const EngineList& list) { told = list; }));
  ASSERT_EQ(told.entries->size(), static_cast<std::size_t>(kEngines));
  EXPECT_EQ(told.entries->back().zone, kNames - 1);
}

// All names change while a request of each is under way: both sets are in force for a while.
TEST(Scale, AReloadThatChangesFifteenHundredNames) {
  const settings::Site before = proxy::ReadConfig(ConfigText("a", Document(0, ""))).site;
  const settings::Site after = proxy::ReadConfig(ConfigText("b", Document(0, ""))).site;
  settings::ReferencedNumbers used;
  for (std::uint16_t i = 0; i < kNames; ++i) used.classes.insert(i), used.tenants.insert(i);
  const settings::Migration migration = settings::MigrateSettings(before, after, used);
  const settings::Site& site = migration.site;
  EXPECT_EQ(site.classes.size(), static_cast<std::size_t>(2 * kNames));
  std::set<std::uint16_t> numbers;
  for (int i = 0; i < kNames; ++i) {
    EXPECT_FALSE(site.TenantOf(Name("a", i)));
    const auto tenant = site.TenantOf(Name("b", i));
    ASSERT_TRUE(tenant);
    EXPECT_GE(*tenant, kNames) << "its number is another's, with a request under way";
    numbers.insert(*tenant);
  }
  EXPECT_EQ(numbers.size(), static_cast<std::size_t>(kNames));
}

TEST_F(Engines1500, AWholeListTakesThePlaceOfAnother) {
  ASSERT_TRUE(Apply(Document(1, Event(1, true, Engines(0, kEngines)))));
  EXPECT_EQ(directory_.size(), static_cast<std::size_t>(kEngines));
  int ended = 0;
  directory_.on_incarnation_ended = [&](EngineId) { ++ended; };
  ASSERT_TRUE(Apply(Document(2, Event(2, true, Engines(1000, kEngines)))));
  EXPECT_EQ(ended, 1000);
  EXPECT_EQ(directory_.size(), static_cast<std::size_t>(kEngines));
  EXPECT_EQ(told_.entries->size(), static_cast<std::size_t>(kEngines));
}

TEST_F(Engines1500, AllCanBeOutByHandAndBack) {
  ASSERT_TRUE(Apply(Document(1, Event(1, true, Engines(0, kEngines)))));
  const auto tell = [](const EngineList&) {};
  using ByHand = discovery::ManualEjectionResult;
  for (int i = 0; i < kEngines; ++i) ASSERT_EQ(directory_.Eject(Name("s", i), tell), ByHand::kDone) << i;
  EXPECT_EQ(directory_.CountEjected({}), static_cast<std::size_t>(kEngines));
  std::set<std::string> out;
  for (int i = 0; i < kEngines; ++i) out.insert(Name("s", i));
  settings::ActiveSettings site{settings::Site()};
  discovery::EndpointDirectory successor(site);
  successor.ImportEjections(out, {}, tell);
  for (const std::string& id : out) EXPECT_TRUE(successor.IsEjected(id));
  for (int i = 0; i < kEngines; ++i)
    directory_.ReturnToService(Name("s", i), std::chrono::system_clock::now(), tell);
  EXPECT_EQ(directory_.CountEjected({}), 0u);
}

TEST_F(Engines1500, ThoseAvoidedAreCountedOnce) {
  ASSERT_TRUE(Apply(Document(1, Event(1, true, Engines(0, kEngines)))));
  std::vector<EngineId> avoided;
  for (const EngineEntry& entry : *told_.entries) avoided.push_back(entry.engine);
  avoided.push_back(avoided.front());
  avoided.push_back(1);  // not listed
  directory_.Eject("s-0", [](const EngineList&) {});
  EXPECT_EQ(directory_.CountEjected(avoided), static_cast<std::size_t>(kEngines));
}

// Each known engine was looked for in the whole list: a list of 64,000 kept a proxy busy for seconds.
TEST_F(Engines1500, AWholeListCostsLittleMoreThanAChangeOfAll) {
  constexpr int kMany = 64'000;
  const std::string engines = Engines(0, kMany);
  const auto first = codec::Json::Parse(Document(1, Event(1, true, engines)));
  const auto change = codec::Json::Parse(Document(2, Event(2, false, engines)));
  const auto whole = codec::Json::Parse(Document(3, Event(3, true, engines)));
  const auto seconds = [&](const codec::Json& document) {
    const auto since = std::chrono::steady_clock::now();
    directory_.Apply(document, [](const EngineList&) {});
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
  };
  seconds(first);
  const double of_change = seconds(change), of_whole = seconds(whole);
  EXPECT_LT(of_whole, 3 * of_change + 0.1) << "a change took " << of_change << " s";
  EXPECT_EQ(directory_.size(), static_cast<std::size_t>(kMany));
}

// ---- The control feed ----

// Sends one answer slice by slice, as a loaded network brings it, and then nothing.
class SlowFeed {
 public:
  SlowFeed(runtime::Loop& loop, const std::string& body, std::size_t slices, runtime::Duration pause)
      : loop_(loop),
        listener_(loop, *runtime::Address::Parse("127.0.0.1:0")),
        slices_(slices),
        pause_(pause) {
    answer_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string address() const { return listener_.address().ToString(); }
  int connections() const { return connections_; }

  runtime::Task<> Run() {
    for (;;) {
      std::unique_ptr<runtime::Socket> socket;
      if (co_await listener_.Accept(socket) != runtime::IoResult::kOk) co_return;
      ++connections_;
      std::string request;
      co_await socket->Read(request, 4096, runtime::Now() + 1s);
      const std::size_t slice = answer_.size() / slices_ + 1;
      for (std::size_t at = 0; at < answer_.size(); at += slice) {
        std::size_t written = 0;
        const auto part = std::string_view(answer_).substr(at, slice);
        if (co_await socket->Write(part, written, runtime::Now() + 1s) != runtime::IoResult::kOk) break;
        co_await loop_.Sleep(pause_);
      }
      sockets_.push_back(std::move(socket));
    }
  }

 private:
  runtime::Loop& loop_;
  runtime::Listener listener_;
  std::string answer_;
  std::size_t slices_;
  runtime::Duration pause_;
  int connections_ = 0;
  std::vector<std::unique_ptr<runtime::Socket>> sockets_;  // stay open
};

// It had 210 ms for the whole of its answer, and was then asked for the same on a new connection, for ever.
TEST(Scale, ALongListThatComesSlowlyIsTaken) {
  std::string events;
  constexpr int kLists = 25;
  for (int n = 1; n <= kLists; ++n) events += (n > 1 ? "," : "") + Event(n, true, Engines(n, kEngines));
  const std::string body = Document(kLists, events);
  ASSERT_GT(body.size(), std::size_t{4} << 20) << "some MB";
  runtime::Loop loop;
  SlowFeed server(loop, body, 12, 50ms);
  settings::ActiveSettings site{settings::Site()};
  discovery::EndpointDirectory directory(site);
  int lists = 0, connections = 0;
  discovery::EndpointWatch feed(
      loop, directory, server.address(), [&](const EngineList&) { ++lists; }, 7);
  const auto watch = [&]() -> runtime::Task<> {
    const runtime::Time until = runtime::Now() + 4s;
    while (directory.last_event() < kLists && runtime::Now() < until) co_await loop.Sleep(10ms);
    connections = server.connections();
    loop.Stop();
  };
  loop.Spawn(server.Run());
  loop.Spawn(feed.Run());
  loop.Spawn(watch());
  loop.Run();
  EXPECT_EQ(directory.last_event(), kLists);
  EXPECT_EQ(lists, kLists);
  EXPECT_EQ(directory.size(), static_cast<std::size_t>(kEngines));
  EXPECT_EQ(connections, 1);
}

// ---- What processes and proxies tell each other ----

TEST(Scale, FifteenHundredEjectedEnginesOutliveTheProcess) {
  const auto folder =
      std::filesystem::temp_directory_path() / ("lemoncroft-scale-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const hot_restart::EjectionStore store(folder);
  for (int i = 0; i < kEngines; ++i) ASSERT_TRUE(store.SaveEjection(Name("s", i)));
  for (int i = 0; i < kEngines; i += 2) ASSERT_TRUE(store.SaveReturn(Name("s", i)));
  const auto read = store.Read();
  std::filesystem::remove_all(folder);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->ejected.size(), static_cast<std::size_t>(kEngines / 2));
  EXPECT_EQ(read->returned_at.size(), static_cast<std::size_t>(kEngines / 2));
}

TEST(Scale, RulesThatNameFifteenHundredOfEachKind) {
  replicated_config::Document document;
  for (int i = 0; i < kNames; ++i) {
    document.classes[Name("class", i)].effect = Effect::kKeyed;
    document.tenants[Name("tenant", i)].quota_per_s = 12.5;
    document.ejected_engines.insert(Name("s", i));
  }
  const std::string text = replicated_config::SerializeDocument(document);
  EXPECT_LE(text.size(), replicated_config::kMaxDocumentBytes);
  const auto read = replicated_config::ParseDocument(text);
  ASSERT_TRUE(read.has_value()) << read.error().Text();
  EXPECT_EQ(*read, document);
}

// As long as a record may be.
gossip::MemberRecord LongRecord(int number) {
  gossip::MemberRecord r;
  r.id = static_cast<gossip::InstanceId>(number) + 1;
  r.name = std::to_string(number) + std::string(gossip::kMaxNameBytes - 5, 'n');
  r.address = {0x0a000000u + static_cast<std::uint32_t>(number), 7000};
  r.zone = std::string(gossip::kMaxZoneBytes, 'z');
  r.phase = gossip::Phase::kServing;
  for (std::size_t i = 0; i < gossip::kMaxAttributes; ++i)
    r.attributes.push_back({std::string(gossip::kMaxAttributeKeyBytes - 1, 'k') + std::to_string(i),
                            std::string(gossip::kMaxAttributeValueBytes, 'v')});
  return r;
}

// One message with all members would be longer than a message may be, and none would ever come.
TEST(Scale, ANewcomerLearnsOfFifteenHundredProxiesWithLongRecords) {
  const gossip::Time start = gossip::Time() + 1h;
  gossip::MembershipView fleet({}, LongRecord(0), 1, start), newcomer({}, LongRecord(kProxies), 2, start);
  gossip::SyncEntries all{LongRecord(1), {}, {}};
  for (int i = 2; i < kProxies; ++i)
    all.entries.push_back({gossip::Status::kAlive, LongRecord(i), gossip::kNoInstance});
  fleet.FinishSync(start, all);
  ASSERT_EQ(fleet.members().live_count(), static_cast<std::size_t>(kProxies));
  const auto size = [](const gossip::SyncEntries& entries) {
    return peer_transport::Encode("f", entries).size();
  };
  int exchanges = 0;
  for (gossip::Time now = start; exchanges < 4 && newcomer.members().digest() != fleet.members().digest();
       ++exchanges) {
    now += 1s;
    const gossip::SyncEntries answer = fleet.HandleSyncRequest(now, newcomer.StartSync(now));
    EXPECT_LE(size(answer), peer_transport::kMaxStreamMessageBytes);
    const gossip::SyncEntries closing = newcomer.HandleSyncResponse(now, answer);
    EXPECT_LE(size(closing), peer_transport::kMaxStreamMessageBytes);
    fleet.FinishSync(now, closing);
  }
  EXPECT_EQ(newcomer.members().live_count(), static_cast<std::size_t>(kProxies) + 1);
  EXPECT_EQ(newcomer.members().digest(), fleet.members().digest());
}

}  // namespace
}  // namespace lemoncroft
