// Lists of engines, proxies and names that are far longer than those of current sites.
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

// Returns a JSON list of `make(0)` to `make(count - 1)`.
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

// Returns a configuration with kNames zones, tenants and classes. Names of tenants and classes begin with
// `prefix`.
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
    return directory_.Apply(codec::Json::Parse(document), [this](const EngineList& list) { update_ = list; });
  }

  settings::ActiveSettings site_{settings::Site()};
  discovery::EndpointDirectory directory_{site_};
  EngineList update_;
};

TEST(Scale, SettingsWith1500Names_AreRead) {
  const proxy::Config config =
      proxy::ReadConfig(ConfigText("a", Document(1, Event(1, true, Engines(0, kEngines)))));
  EXPECT_TRUE(config.findings.empty()) << config.findings.front().text;
  EXPECT_NO_THROW(proxy::CheckSettings(config));
  ASSERT_EQ(config.site.classes.size(), static_cast<std::size_t>(kNames));
  EXPECT_EQ(config.site.module.classes[kNames - 1].zones, std::vector<std::uint16_t>{kNames - 1});
  EXPECT_EQ(config.site.TenantOf("a-1499"), 1499);
  settings::ActiveSettings site(config.site);
  discovery::EndpointDirectory directory(site);
  EngineList update;
  ASSERT_TRUE(directory.Apply(config.known_events, [&](const EngineList& list) { update = list; }));
  ASSERT_EQ(update.entries->size(), static_cast<std::size_t>(kEngines));
  EXPECT_EQ(update.entries->back().zone, kNames - 1);
}

// All names change while a request of each class and tenant is in flight, so that both sets of numbers stay
// in use.
TEST(Scale, ReloadThatChanges1500Names_KeepsNumbersInUse) {
  const settings::Site before = proxy::ReadConfig(ConfigText("a", Document(0, ""))).site;
  const settings::Site after = proxy::ReadConfig(ConfigText("b", Document(0, ""))).site;
  settings::ReferencedNumbers referenced;
  for (std::uint16_t i = 0; i < kNames; ++i) referenced.classes.insert(i), referenced.tenants.insert(i);
  const settings::Migration migration = settings::MigrateSettings(before, after, referenced);
  const settings::Site& site = migration.site;
  EXPECT_EQ(site.classes.size(), static_cast<std::size_t>(2 * kNames));
  std::set<std::uint16_t> numbers;
  for (int i = 0; i < kNames; ++i) {
    EXPECT_FALSE(site.TenantOf(Name("a", i)));
    const auto tenant = site.TenantOf(Name("b", i));
    ASSERT_TRUE(tenant);
    EXPECT_GE(*tenant, kNames) << "the number still belongs to a former tenant with a request in flight";
    numbers.insert(*tenant);
  }
  EXPECT_EQ(numbers.size(), static_cast<std::size_t>(kNames));
}

TEST_F(Engines1500, CompleteList_ReplacesFormerList) {
  ASSERT_TRUE(Apply(Document(1, Event(1, true, Engines(0, kEngines)))));
  EXPECT_EQ(directory_.size(), static_cast<std::size_t>(kEngines));
  int ended = 0;
  directory_.on_incarnation_ended = [&](EngineId) { ++ended; };
  ASSERT_TRUE(Apply(Document(2, Event(2, true, Engines(1000, kEngines)))));
  EXPECT_EQ(ended, 1000);
  EXPECT_EQ(directory_.size(), static_cast<std::size_t>(kEngines));
  EXPECT_EQ(update_.entries->size(), static_cast<std::size_t>(kEngines));
}

TEST_F(Engines1500, AllEngines_CanBeEjectedAndReturned) {
  ASSERT_TRUE(Apply(Document(1, Event(1, true, Engines(0, kEngines)))));
  const auto ignore_update = [](const EngineList&) {};
  using Result = discovery::ManualEjectionResult;
  for (int i = 0; i < kEngines; ++i)
    ASSERT_EQ(directory_.Eject(Name("s", i), ignore_update), Result::kDone) << i;
  EXPECT_EQ(directory_.CountEjected({}), static_cast<std::size_t>(kEngines));
  std::set<std::string> ejected_ids;
  for (int i = 0; i < kEngines; ++i) ejected_ids.insert(Name("s", i));
  settings::ActiveSettings site{settings::Site()};
  discovery::EndpointDirectory successor(site);
  successor.ImportEjections(ejected_ids, {}, ignore_update);
  for (const std::string& id : ejected_ids) EXPECT_TRUE(successor.IsEjected(id));
  for (int i = 0; i < kEngines; ++i)
    directory_.ReturnToService(Name("s", i), std::chrono::system_clock::now(), ignore_update);
  EXPECT_EQ(directory_.CountEjected({}), 0u);
}

TEST_F(Engines1500, EjectedEngines_AreCountedOnce) {
  ASSERT_TRUE(Apply(Document(1, Event(1, true, Engines(0, kEngines)))));
  std::vector<EngineId> outliers;
  for (const EngineEntry& entry : *update_.entries) outliers.push_back(entry.engine);
  outliers.push_back(outliers.front());
  outliers.push_back(1);  // not listed
  directory_.Eject("s-0", [](const EngineList&) {});
  EXPECT_EQ(directory_.CountEjected(outliers), static_cast<std::size_t>(kEngines));
}

// Each known engine was once searched for in the complete list, so that a list of 64,000 engines blocked a
// proxy for seconds.
TEST_F(Engines1500, CompleteList_CostsLittleMoreThanChangeOfAllEngines) {
  constexpr int kMany = 64'000;
  const std::string engines = Engines(0, kMany);
  const auto first = codec::Json::Parse(Document(1, Event(1, true, engines)));
  const auto change = codec::Json::Parse(Document(2, Event(2, false, engines)));
  const auto complete_list = codec::Json::Parse(Document(3, Event(3, true, engines)));
  const auto seconds = [&](const codec::Json& document) {
    const auto since = std::chrono::steady_clock::now();
    directory_.Apply(document, [](const EngineList&) {});
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
  };
  seconds(first);
  const double change_seconds = seconds(change), complete_seconds = seconds(complete_list);
  EXPECT_LT(complete_seconds, 3 * change_seconds + 0.1) << "a change took " << change_seconds << " s";
  EXPECT_EQ(directory_.size(), static_cast<std::size_t>(kMany));
}

// ---- The control feed ----

// Sends a single response in slices, as over a loaded network, and then nothing.
class SlowFeed {
 public:
  SlowFeed(runtime::Loop& loop, const std::string& body, std::size_t slices, runtime::Duration pause)
      : loop_(loop),
        listener_(loop, *runtime::Address::Parse("127.0.0.1:0")),
        slices_(slices),
        pause_(pause) {
    response_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
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
      const std::size_t slice = response_.size() / slices_ + 1;
      for (std::size_t at = 0; at < response_.size(); at += slice) {
        std::size_t written = 0;
        const auto part = std::string_view(response_).substr(at, slice);
        if (co_await socket->Write(part, written, runtime::Now() + 1s) != runtime::IoResult::kOk) break;
        co_await loop_.Sleep(pause_);
      }
      sockets_.push_back(std::move(socket));
    }
  }

 private:
  runtime::Loop& loop_;
  runtime::Listener listener_;
  std::string response_;
  std::size_t slices_;
  runtime::Duration pause_;
  int connections_ = 0;
  std::vector<std::unique_ptr<runtime::Socket>> sockets_;  // kept open
};

// The feed once had 210 ms for its complete response. After that, the same response was requested on a new
// connection, endlessly.
TEST(Scale, LongListReceivedSlowly_IsApplied) {
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
    while (directory.last_revision() < kLists && runtime::Now() < until) co_await loop.Sleep(10ms);
    connections = server.connections();
    loop.Stop();
  };
  loop.Spawn(server.Run());
  loop.Spawn(feed.Run());
  loop.Spawn(watch());
  loop.Run();
  EXPECT_EQ(directory.last_revision(), kLists);
  EXPECT_EQ(lists, kLists);
  EXPECT_EQ(directory.size(), static_cast<std::size_t>(kEngines));
  EXPECT_EQ(connections, 1);
}

// ---- Data shared by processes and proxies ----

TEST(Scale, EjectionStoreWith1500Engines_IsReadBack) {
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

TEST(Scale, DocumentWith1500NamesOfEachKind_IsReadBack) {
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

// Returns a record of the maximum length.
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

// A single message with all members would exceed the maximum message length and could never be sent.
TEST(Scale, StateSyncWith1500LongRecords_Completes) {
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
    const gossip::SyncEntries response = fleet.HandleSyncRequest(now, newcomer.StartSync(now));
    EXPECT_LE(size(response), peer_transport::kMaxStreamMessageBytes);
    const gossip::SyncEntries closing = newcomer.HandleSyncResponse(now, response);
    EXPECT_LE(size(closing), peer_transport::kMaxStreamMessageBytes);
    fleet.FinishSync(now, closing);
  }
  EXPECT_EQ(newcomer.members().live_count(), static_cast<std::size_t>(kProxies) + 1);
  EXPECT_EQ(newcomer.members().digest(), fleet.members().digest());
}

}  // namespace
}  // namespace lemoncroft
