// Operators' manual ejections between their acceptance at a proxy and the fleet's agreement: the requests,
// their file and their proposals to a simulated fleet.
#include "replicated_config/ejection_requests.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hot_restart/shared_file.h"
#include "hot_restart/slot_lock.h"
#include "proxy/ejection_replicator.h"
#include "proxy/ejection_request_store.h"

namespace lemoncroft {
namespace {

namespace fs = std::filesystem;
using namespace replicated_config;
using namespace std::chrono_literals;
using hot_restart::SharedFile;
using proxy::EjectionReplicator;
using proxy::EjectionRequestStore;
using runtime::Task;

constexpr auto kEject = EjectionAction::kEject;
constexpr auto kReturn = EjectionAction::kReturnToService;
using Engines = std::set<std::string>;

std::vector<std::string> IdsOf(const std::vector<EjectionRequest>& requests) {
  std::vector<std::string> ids;
  ids.reserve(requests.size());
  for (const EjectionRequest& request : requests) ids.push_back(request.id);
  return ids;
}

EjectionProposal Proposal(const std::string& change_id, std::set<std::string> request_ids) {
  EjectionProposal proposal;
  proposal.change.id = change_id;
  proposal.request_ids = std::move(request_ids);
  return proposal;
}

const EjectionRequests::Filter kAll = [](const EjectionRequest&) { return true; };

// ---- The requests ----

// A later request for an engine must not replace one that is under way or whose caller still waits.
TEST(EjectionRequests, RequestsForOneEngine_AreProposedInOrder) {
  EjectionRequests requests;
  requests.Add({"a", "e1", kEject});
  requests.Add({"b", "e1", kReturn, true});
  requests.Add({"c", "e2", kEject});
  EXPECT_EQ(IdsOf(requests.NextBatch(kAll)), (std::vector<std::string>{"a", "c"}));
  EXPECT_TRUE(requests.Begin(Proposal("x1", {"a", "c"})));
  EXPECT_FALSE(requests.Begin(Proposal("x2", {"b"}))) << "one proposal at a time";
  requests.Commit("x1", 5);
  EXPECT_EQ(requests.CommittedVersion("c"), 5u);
  EXPECT_EQ(IdsOf(requests.NextBatch(kAll)), (std::vector<std::string>{"b"}));
}

// Without a bound, calls during a long partition would fill the memory.
TEST(EjectionRequests, AnsweredRequest_IsReplacedByALaterOne_UnlessProposed) {
  EjectionRequests requests;
  requests.Add({"a", "e1", kEject});
  requests.MarkAnswered("a");
  ASSERT_TRUE(requests.Begin(Proposal("x", {"a"})));
  for (int i = 0; i < 1000; ++i) {
    const std::string id = std::to_string(i);
    requests.Add({id, "e1", i % 2 == 0 ? kReturn : kEject, true});
    requests.MarkAnswered(id);
  }
  EXPECT_EQ(IdsOf(requests.pending()), (std::vector<std::string>{"a", "999"}));
}

TEST(EjectionRequests, OutcomeOfAnEarlierProposal_HasNoEffect) {
  EjectionRequests requests;
  requests.Add({"a", "e1", kEject});
  ASSERT_TRUE(requests.Begin(Proposal("x1", {"a"})));
  requests.Abandon("x1");
  ASSERT_TRUE(requests.Begin(Proposal("x2", {"a"})));
  requests.Commit("x1", 3);
  requests.Confirm({"a"}, 3);
  EXPECT_EQ(requests.CommittedVersion("a"), std::nullopt);
  EXPECT_TRUE(requests.proposal().has_value());
}

// An engine must stay out from the acceptance until a version with the ejection was active, and a return must
// not take effect before the fleet has agreed.
TEST(EjectionRequests, EjectedEngines_FromAcceptanceToActivation) {
  EjectionRequests requests;
  Document active;
  requests.Add({"a", "e1", kEject});
  EXPECT_EQ(requests.EjectedEngines(active), Engines{"e1"});
  ASSERT_TRUE(requests.Begin(Proposal("x", {"a"})));
  requests.Commit("x", 2);
  EXPECT_FALSE(requests.MarkActivated(1));
  EXPECT_EQ(requests.EjectedEngines(active), Engines{"e1"});
  EXPECT_TRUE(requests.MarkActivated(2));
  EXPECT_EQ(requests.EjectedEngines(active), Engines());

  active.ejected_engines = {"e1"};
  requests.Add({"b", "e1", kReturn, true});
  EXPECT_EQ(requests.EjectedEngines(Document()), Engines{"e1"});
  requests.Confirm({"b"}, 3);
  EXPECT_EQ(requests.EjectedEngines(active), Engines{"e1"}) << "version 3 is not active yet";
}

TEST(EjectionRequests, ActivatedRequests_AreBounded) {
  EjectionRequests requests;
  for (int i = 0; i < 500; ++i) {
    requests.Add({std::to_string(i), "e" + std::to_string(i), kEject});
    requests.Confirm({std::to_string(i)}, 1);
  }
  requests.MarkActivated(1);
  EXPECT_EQ(requests.committed().size(), EjectionRequests::kMaxActivated);
  EXPECT_EQ(requests.committed().back().id, "499");
}

// ---- The file ----

class EjectionFile : public testing::Test {
 public:
  ~EjectionFile() override { fs::remove_all(folder_); }

 protected:
  EjectionFile() { fs::create_directories(folder_); }
  std::unique_ptr<SharedFile> Open() const {
    return SharedFile::Open(folder_, EjectionRequestStore::kFileName);
  }
  fs::path Path() const { return folder_ / EjectionRequestStore::kFileName; }

  fs::path folder_ = fs::temp_directory_path() / ("ejections-" + std::to_string(::getpid()));
};

// An upgrade forgot ejections that the fleet had not agreed on (review 10).
TEST_F(EjectionFile, Successor_HasAllRequests) {
  EjectionRequestStore before(Open());
  before.Update([](EjectionRequests& requests) {
    requests.Add({"a", "e\"1\n", kEject, false, true});
    requests.Add({"b", "e2", kReturn, true});
    requests.Add({"c", "e3", kEject});
    requests.Confirm({"c"}, 7);
    EjectionProposal proposal = Proposal("x", {"a", "b"});
    proposal.change.base_version = 6;
    proposal.change.document = "out \"e1\"\n";
    proposal.change.author = "n1";
    requests.Begin(proposal);
  });
  EXPECT_TRUE(before.IsStored("a"));
  const EjectionRequestStore after(Open());
  EXPECT_EQ(after.requests(), before.requests());
}

TEST_F(EjectionFile, TwoProcesses_SeeEachOthersRequests) {
  EjectionRequestStore one(Open()), other(Open());
  one.Update([](EjectionRequests& requests) { requests.Add({"a", "e1", kEject}); });
  EXPECT_TRUE(other.Refresh());
  EXPECT_FALSE(other.Refresh());
  other.Update([](EjectionRequests& requests) { requests.Add({"b", "e2", kEject}); });
  one.Update([](EjectionRequests& requests) { requests.Add({"c", "e3", kEject}); });
  EXPECT_EQ(IdsOf(one.requests().pending()), (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_TRUE(other.Refresh());
  EXPECT_EQ(other.requests(), one.requests());
}

// A process that was stopped while it held the lock must not stop the other one.
TEST_F(EjectionFile, LockedFile_RequestIsKeptAndStoredLater) {
  EjectionRequestStore one(Open()), other(Open());
  {
    const runtime::Descriptor lock(::open((Path().string() + ".lock").c_str(), O_RDWR));
    ASSERT_TRUE(hot_restart::TryLockSlot(lock.get(), 0));
    one.Update([](EjectionRequests& requests) { requests.Add({"a", "e1", kEject}); });
  }
  EXPECT_FALSE(one.IsStored("a"));
  EXPECT_EQ(one.requests().EjectedEngines({}), Engines{"e1"});
  other.Update([](EjectionRequests& requests) { requests.Add({"b", "e2", kEject}); });
  EXPECT_TRUE(one.Refresh());
  EXPECT_TRUE(one.IsStored("a"));
  EXPECT_EQ(IdsOf(one.requests().pending()), (std::vector<std::string>{"b", "a"}));
}

TEST_F(EjectionFile, DamagedOrRemovedFile_KeepsTheRequestsOfTheProcess) {
  EjectionRequestStore store(Open());
  store.Update([](EjectionRequests& requests) { requests.Add({"a", "e1", kEject}); });
  for (const char* text : {"{", "[]", "{\"revision\":9,\"pending\":[{}],\"committed\":[]}", ""}) {
    std::ofstream(Path()) << text;
    store.Refresh();
    EXPECT_EQ(IdsOf(store.requests().pending()), std::vector<std::string>{"a"}) << text;
    EXPECT_TRUE(EjectionRequestStore(Open()).requests().pending().empty()) << text;
  }
  fs::remove(Path());
  store.Refresh();
  store.Update([](EjectionRequests& requests) { requests.Add({"b", "e2", kEject}); });
  EXPECT_EQ(EjectionRequestStore(Open()).requests(), store.requests());
}

TEST_F(EjectionFile, FolderThatCannotBeUsed_IsNotOpened) {
  EXPECT_EQ(SharedFile::Open(folder_ / "missing", "name"), nullptr);
}

// ---- The proposals ----

// A fleet with one leader, which a proxy reaches or not, and whose responses may be lost.
struct FakeLeader {
  std::map<Version, std::string> documents;
  std::map<std::string, Version> committed;  // by change
  std::set<std::string> engines_that_stay;   // a change that ejects one of these is rejected
  int proposals = 0;

  Version latest() const { return documents.empty() ? 0 : documents.rbegin()->first; }
  Document LatestDocument() const {
    return documents.empty() ? Document() : ParseDocument(documents.rbegin()->second).value();
  }
  void Change(const std::function<void(Document&)>& change) {
    Document document = LatestDocument();
    change(document);
    documents[latest() + 1] = SerializeDocument(document);
  }
  ChangeOutcome Propose(const ConfigChange& change) {
    ++proposals;
    if (const auto known = committed.find(change.id); known != committed.end())
      return {change.id, ChangeStatus::kCommitted, known->second, {}};
    if (change.base_version != latest()) return {change.id, ChangeStatus::kConflict, latest(), {}};
    const Document document = ParseDocument(change.document).value();
    for (const std::string& engine : document.ejected_engines)
      if (engines_that_stay.contains(engine))
        return {change.id, ChangeStatus::kRejected, latest(), engine + " stays"};
    const Version version = latest() + 1;
    documents[version] = change.document;
    committed[change.id] = version;
    return {change.id, ChangeStatus::kCommitted, version, {}};
  }
};

// The access of one process. It hears of a version `staleness` after it was committed, as with the renewals
// of a lease, or with a response.
class FakeClient : public proxy::FleetConfigClient {
 public:
  FakeClient(runtime::Loop& loop, FakeLeader& leader, std::string name)
      : loop_(loop), leader_(leader), name_(std::move(name)) {}

  Version latest_version() const override { return known_; }
  const std::string* FindDocument(Version version) const override {
    const auto it = leader_.documents.find(version);
    return it == leader_.documents.end() ? nullptr : &it->second;
  }
  std::string NewRequestId() const override { return name_ + std::to_string(++last_id_); }
  bool CanSubmitRequest() const override { return true; }
  Task<RequestCompleted> Propose(ConfigChange change, runtime::Duration timeout) override {
    co_await loop_.Sleep(kRoundTrip);
    ChangeOutcome outcome{change.id, ChangeStatus::kUnknown, 0, "no leader responded in time"};
    if (reachable) outcome = leader_.Propose(change);
    if (reachable && loses_responses) outcome.status = ChangeStatus::kUnknown;
    if (outcome.status == ChangeStatus::kUnknown)
      co_await loop_.Sleep(std::min<runtime::Duration>(timeout, 100ms));
    if (reachable && !loses_responses) known_ = std::max(known_, leader_.latest());
    co_return RequestCompleted{outcome, {}};
  }
  Task<RequestCompleted> ReadCommitted(runtime::Duration timeout) override {
    co_await loop_.Sleep(kRoundTrip);
    if (!reachable) {
      co_await loop_.Sleep(std::min<runtime::Duration>(timeout, 100ms));
      co_return RequestCompleted{{{}, ChangeStatus::kUnknown, 0, "no leader responded in time"}, {}};
    }
    known_ = std::max(known_, leader_.latest());
    co_return RequestCompleted{{{}, ChangeStatus::kCommitted, known_, {}},
                               ReadResponse{{}, known_, known_, {}}};
  }
  void HearOf(Version version) { known_ = version; }

  bool reachable = true, loses_responses = false;

 private:
  static constexpr auto kRoundTrip = 1ms;
  runtime::Loop& loop_;
  FakeLeader& leader_;
  std::string name_;
  Version known_ = 0;
  mutable int last_id_ = 0;
};

// One process of a proxy.
struct Process {
  Process(runtime::Loop& loop, FakeLeader& leader, const std::string& name,
          std::unique_ptr<SharedFile> file = nullptr)
      : client(loop, leader, name), replicator(loop, client, name, std::move(file), [] {}) {
    replicator.Start();
  }
  Task<> Call(admin::CommandType type, std::string engine, std::string& message) {
    const bool was_ejected = replicator.EjectedEngines({}).contains(engine);
    admin::Command command{type, std::move(engine)};
    admin::Reply reply;
    reply.accepted = true;
    const admin::Reply answer =
        co_await replicator.Replicate(std::move(command), std::move(reply), was_ejected);
    message = answer.message;
  }
  FakeClient client;
  EjectionReplicator replicator;
};

class EjectionReplication : public EjectionFile {
 private:
  static constexpr auto kSettleTimeout = 10s;

 protected:
  // Plays a script on the loop, until its end.
  template <typename Script>
  void Play(Script script) {
    loop_.Spawn(PlayToEnd(script));
    loop_.Run();
  }
  template <typename Script>
  Task<> PlayToEnd(Script& script) {
    co_await script();
    loop_.Stop();
  }
  static Task<std::string> Eject(Process& process, std::string engine) {
    std::string message;
    co_await process.Call(admin::CommandType::kEject, std::move(engine), message);
    co_return message;
  }
  static Task<std::string> Return(Process& process, std::string engine) {
    std::string message;
    co_await process.Call(admin::CommandType::kReturnToService, std::move(engine), message);
    co_return message;
  }
  // Waits until the fleet has agreed to all requests of the process.
  Task<> AwaitSettled(const Process& process) {
    const runtime::Time deadline = runtime::Now() + kSettleTimeout;
    while (!process.replicator.pending().empty() && runtime::Now() < deadline) co_await loop_.Sleep(1ms);
    EXPECT_TRUE(process.replicator.pending().empty());
  }
  Engines EjectedByFleet() const { return leader_.LatestDocument().ejected_engines; }

  FakeLeader leader_;
  runtime::Loop loop_;
};

// A proxy that was cut off answered "for the fleet" for an ejection that a version it had missed had ended,
// and forgot it with that version (review 9).
TEST_F(EjectionReplication, EngineEjectedInAnOldVersionAlone_IsNotConfirmed) {
  Process process(loop_, leader_, "n4");
  Play([&]() -> Task<> {
    EXPECT_EQ((co_await Eject(process, "e1")), "for the fleet, version 1");
    process.client.reachable = false;
    leader_.Change([](Document& document) { document.ejected_engines.clear(); });
    EXPECT_TRUE((co_await Eject(process, "e1")).starts_with("here; the fleet has not agreed yet"));
    EXPECT_EQ(process.replicator.EjectedEngines({}), Engines{"e1"});
    process.client.reachable = true;
    co_await AwaitSettled(process);
    EXPECT_EQ(EjectedByFleet(), Engines{"e1"});
    EXPECT_EQ(leader_.latest(), 3u);
  });
}

// Of calls in quick turn most had no effect, since they were compared with a version that was out of date.
TEST_F(EjectionReplication, CallsInQuickTurn_EachHaveAnEffect) {
  Process process(loop_, leader_, "n4");
  Play([&]() -> Task<> {
    for (Version version = 1; version <= 20; version += 2) {
      EXPECT_EQ((co_await Eject(process, "e1")), "for the fleet, version " + std::to_string(version));
      EXPECT_EQ((co_await Return(process, "e1")), "for the fleet, version " + std::to_string(version + 1));
    }
  });
}

// Calls that overlap were merged into one, and both were answered with its version.
TEST_F(EjectionReplication, CallsAtOneTime_EachHaveAnEffectInTheirOrder) {
  Process process(loop_, leader_, "n4");
  std::vector<std::string> messages(4);
  Play([&]() -> Task<> {
    loop_.Spawn(process.Call(admin::CommandType::kEject, "e1", messages[0]));
    loop_.Spawn(process.Call(admin::CommandType::kReturnToService, "e1", messages[1]));
    loop_.Spawn(process.Call(admin::CommandType::kEject, "e1", messages[2]));
    loop_.Spawn(process.Call(admin::CommandType::kEject, "e2", messages[3]));
    co_await loop_.NextTurn();
    co_await AwaitSettled(process);
    co_await loop_.Sleep(50ms);
    EXPECT_EQ(messages[0], "for the fleet, version 1");
    EXPECT_EQ(messages[1], "for the fleet, version 2");
    EXPECT_EQ(messages[2], "for the fleet, version 3");
    EXPECT_EQ(messages[3], "for the fleet, version 1");
    EXPECT_EQ(EjectedByFleet(), (Engines{"e1", "e2"}));
  });
}

TEST_F(EjectionReplication, RepeatedCall_GetsTheSameAnswerAndHasNoSecondEffect) {
  Process process(loop_, leader_, "n4");
  Play([&]() -> Task<> {
    EXPECT_EQ((co_await Eject(process, "e1")), "for the fleet, version 1");
    EXPECT_EQ((co_await Eject(process, "e1")), "for the fleet, version 1");
    EXPECT_EQ(leader_.latest(), 1u);
  });
}

// A proposal whose response was lost was proposed a second time under another id, after an operator had ended
// the ejection elsewhere.
TEST_F(EjectionReplication, CommittedWithoutResponse_IsNotProposedAgain) {
  Process process(loop_, leader_, "n4");
  Play([&]() -> Task<> {
    process.client.loses_responses = true;
    EXPECT_TRUE((co_await Eject(process, "e1")).starts_with("here; "));
    EXPECT_EQ(EjectedByFleet(), Engines{"e1"});
    leader_.Change([](Document& document) { document.ejected_engines.clear(); });
    process.client.loses_responses = false;
    co_await AwaitSettled(process);
    EXPECT_EQ(EjectedByFleet(), Engines());
  });
}

// The same where the process ends before it hears of the outcome, and its successor goes on.
TEST_F(EjectionReplication, ProposalOfAPredecessor_IsResolvedByItsId) {
  Process predecessor(loop_, leader_, "n4", Open());
  Play([&]() -> Task<> {
    std::optional<Process> successor;
    predecessor.client.loses_responses = true;
    EXPECT_TRUE((co_await Eject(predecessor, "e1")).starts_with("here; "));
    predecessor.client.reachable = false;
    co_await loop_.Sleep(300ms);
    leader_.Change([](Document& document) { document.ejected_engines.clear(); });
    successor.emplace(loop_, leader_, "n4b", Open());
    EXPECT_EQ(successor->replicator.EjectedEngines({}), Engines{"e1"});
    co_await AwaitSettled(*successor);
    co_await AwaitSettled(predecessor);
    EXPECT_EQ(EjectedByFleet(), Engines());
  });
}

// An ejection that the fleet rejects, as an engine of `cut-off`, held up all others and their answers.
TEST_F(EjectionReplication, RejectedRequest_DoesNotHoldUpOthers) {
  Process process(loop_, leader_, "n4");
  Play([&]() -> Task<> {
    leader_.engines_that_stay = {"e1"};
    EXPECT_TRUE((co_await Eject(process, "e1")).ends_with(": e1 stays"));
    EXPECT_EQ((co_await Eject(process, "e2")), "for the fleet, version 1");
    EXPECT_EQ(process.replicator.EjectedEngines({}), (Engines{"e1", "e2"}));
    leader_.engines_that_stay.clear();
    co_await AwaitSettled(process);
    EXPECT_EQ(EjectedByFleet(), (Engines{"e1", "e2"}));
  });
}

TEST_F(EjectionReplication, RequestsRejectedTogether_AreProposedOneByOne) {
  Process process(loop_, leader_, "n4");
  std::vector<std::string> messages(3);
  Play([&]() -> Task<> {
    leader_.engines_that_stay = {"e2"};
    process.client.reachable = false;
    for (std::size_t i = 0; i < 3; ++i)
      loop_.Spawn(process.Call(admin::CommandType::kEject, "e" + std::to_string(i + 1), messages[i]));
    co_await loop_.Sleep(150ms);
    process.client.reachable = true;
    for (int i = 0; i < 1000 && EjectedByFleet().size() < 2; ++i) co_await loop_.Sleep(10ms);
    EXPECT_EQ(EjectedByFleet(), (Engines{"e1", "e3"}));
  });
}

// Both processes of an upgrade propose; each call has one effect, wherever it is said.
TEST_F(EjectionReplication, CallsAtBothProcesses_HaveTheirEffectOnce) {
  Process one(loop_, leader_, "a", Open()), other(loop_, leader_, "b", Open());
  Play([&]() -> Task<> {
    EXPECT_EQ((co_await Eject(one, "e1")), "for the fleet, version 1");
    EXPECT_EQ((co_await Return(other, "e1")), "for the fleet, version 2");
    EXPECT_EQ((co_await Eject(other, "e1")), "for the fleet, version 3");
    co_await AwaitSettled(one);
    EXPECT_EQ(leader_.latest(), 3u);
  });
}

// An ejection at one process takes effect in the other one too, while the fleet is out of reach.
TEST_F(EjectionReplication, IsolatedProcesses_ShareEjectionsAndReturns) {
  Process one(loop_, leader_, "a", Open()), other(loop_, leader_, "b", Open());
  Play([&]() -> Task<> {
    one.client.reachable = other.client.reachable = false;
    EXPECT_TRUE((co_await Eject(one, "e1")).starts_with("here; "));
    EXPECT_EQ(other.replicator.EjectedEngines({}), Engines{"e1"});
    EXPECT_TRUE((co_await Return(other, "e1")).starts_with("later; "));
    EXPECT_EQ(one.replicator.EjectedEngines({}), Engines{"e1"}) << "a return waits for the fleet";
    one.client.reachable = other.client.reachable = true;
    co_await AwaitSettled(one);
    co_await AwaitSettled(other);
    EXPECT_EQ(EjectedByFleet(), Engines());
    EXPECT_EQ(one.replicator.EjectedEngines({}), Engines());
  });
}

}  // namespace
}  // namespace lemoncroft
