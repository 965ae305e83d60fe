// Pins the bytes that proxies exchange and store: frames of the peer protocol, messages and durable records
// of the log, messages about the replicated configuration, and the entries and snapshots of its state
// machine.
#include <gtest/gtest.h>

#include "golden.h"
#include "peer_transport/frame.h"
#include "raft/codec.h"
#include "replicated_config/config_state_machine.h"
#include "replicated_config/messages.h"

namespace lemoncroft {
namespace {

using golden::Case;
using golden::ExpectGolden;

constexpr const char* kFleet = "north";
const std::string kUndecodable = "undecodable";
constexpr std::uint64_t kLargeNumber = 0x0123456789abcdef;
const std::string kBinary("a\0\xff\n", 4);

// ---- Frames between proxies ----

gossip::MemberRecord FullRecord() {
  return {.id = kLargeNumber,
          .name = "proxy-1",
          .address = {0x7f000001, 7400},
          .zone = "b",
          .phase = gossip::Phase::kDraining,
          .generation = 70000,
          .incarnation = std::uint64_t{1} << 40,
          .attributes = {{"rack", "r7"}, {"build", ""}}};
}

gossip::BucketSums FullSums() {
  gossip::BucketSums sums{};
  for (std::size_t i = 0; i < sums.size(); ++i) sums[i] = i * 0x0101010101010101;
  return sums;
}

std::vector<gossip::MemberUpdate> UpdateOfEachStatus() {
  std::vector<gossip::MemberUpdate> all;
  for (const auto status :
       {gossip::Status::kAlive, gossip::Status::kSuspect, gossip::Status::kFailed, gossip::Status::kLeft})
    all.push_back({status, FullRecord(), 300 + static_cast<std::uint64_t>(status)});
  return all;
}

Case PeerCase(const std::string& name, const peer_transport::Message& message) {
  return {name, peer_transport::Encode(kFleet, message), [](std::string_view bytes) {
            const auto read = peer_transport::Decode(kFleet, bytes, peer_transport::kMaxStreamMessageBytes);
            return read ? peer_transport::Encode(kFleet, *read) : kUndecodable;
          }};
}

Case DatagramCase(const std::string& name, const gossip::DatagramBody& body) {
  gossip::MemberRecord sender;
  sender.id = 7;
  sender.name = "p";
  return PeerCase(name, gossip::Datagram{sender, 9, body, {}});
}

TEST(PeerFrame_EachMessageKind, HasGoldenBytes) {
  ExpectGolden(
      "peer_frames.txt",
      {PeerCase("datagram_minimal", gossip::Datagram{{}, 0, gossip::Gossip{}, {}}),
       PeerCase("datagram_full",
                gossip::Datagram{FullRecord(), kLargeNumber,
                                 gossip::PingRequest{90000, kLargeNumber + 1, {0x0a000102, 65535}},
                                 UpdateOfEachStatus()}),
       DatagramCase("datagram_ping", gossip::Ping{1, 2}),
       DatagramCase("datagram_ping_request", gossip::PingRequest{3, 4, {0x7f000002, 80}}),
       DatagramCase("datagram_ack", gossip::Ack{5, 6}), DatagramCase("datagram_nack", gossip::Nack{7}),
       DatagramCase("datagram_stranger", gossip::WrongTarget{8}),
       DatagramCase("datagram_gossip", gossip::Gossip{}), PeerCase("opening_minimal", gossip::SyncRequest{}),
       PeerCase("opening_full", gossip::SyncRequest{FullRecord(), FullSums()}),
       PeerCase("entries_minimal", gossip::SyncEntries{}),
       PeerCase("entries_full", gossip::SyncEntries{FullRecord(), FullSums(), UpdateOfEachStatus()}),
       PeerCase("parcel_minimal", peer_transport::AppMessage{}),
       PeerCase("parcel_rules",
                peer_transport::AppMessage{1, peer_transport::Subsystem::kReplicatedConfig, kBinary}),
       PeerCase("parcel_call",
                peer_transport::AppMessage{kLargeNumber, peer_transport::Subsystem::kOperatorCall, "readyz"}),
       PeerCase("parcel_call_long", peer_transport::AppMessage{7, peer_transport::Subsystem::kOperatorCall,
                                                               std::string(300, 'x')}),
       PeerCase("parcel_lists",
                peer_transport::AppMessage{kLargeNumber, peer_transport::Subsystem::kEndpointLists,
                                           std::string(300, 'x')})});
}

// Guards against a decoder that skips the check of a part of the header. The golden bytes above pin the
// checksum itself.
TEST(PeerFrame_WrongHeader, IsReportedAsItsError) {
  const std::string valid = golden::FromHex(golden::ReadFixture("peer_frames.txt")["datagram_full"]);
  const auto error_of = [&](const std::string& frame, std::string_view fleet, std::size_t max_bytes) {
    const auto read = peer_transport::Decode(fleet, frame, max_bytes);
    return read ? std::string("none") : std::string(peer_transport::NameOf(read.error()));
  };
  const auto with_flipped_bit = [&](std::size_t at) {
    std::string frame = valid;
    frame[at] = static_cast<char>(frame[at] ^ 0x10);
    return frame;
  };
  EXPECT_EQ(error_of(valid, kFleet, valid.size()), "none");
  EXPECT_EQ(error_of(with_flipped_bit(3), kFleet, valid.size()), "none") << "a later minor version";
  EXPECT_EQ(error_of(with_flipped_bit(0), kFleet, valid.size()), "garbled") << "magic";
  EXPECT_EQ(error_of(with_flipped_bit(1), kFleet, valid.size()), "garbled") << "magic";
  EXPECT_EQ(error_of(with_flipped_bit(2), kFleet, valid.size()), "version");
  for (std::size_t at = 4; at < 12; ++at)
    EXPECT_EQ(error_of(with_flipped_bit(at), kFleet, valid.size()), "garbled") << at;
  EXPECT_EQ(error_of(with_flipped_bit(valid.size() - 1), kFleet, valid.size()), "garbled") << "body";
  EXPECT_EQ(error_of(valid.substr(0, 12), kFleet, valid.size()), "cut");
  EXPECT_EQ(error_of(valid, kFleet, valid.size() - 1), "too long");
  EXPECT_EQ(error_of(valid, "south", valid.size()), "foreign");
}

// ---- The log ----

raft::Entry FullEntry() {
  return {kLargeNumber, 70000, raft::EntryKind::kVoters, kBinary, {"proxy-1", "proxy-2"}};
}
raft::Snapshot FullSnapshot() { return {70000, kLargeNumber, {"proxy-1", "proxy-2"}, kBinary}; }

std::vector<raft::Entry> EntryOfEachKind() {
  return {{1, 2, raft::EntryKind::kNoOp, "", {}}, {1, 3, raft::EntryKind::kData, "data", {}}, FullEntry()};
}

Case LogMessageCase(const std::string& name, const raft::Message& message) {
  return {name, raft::Encode(message), [](std::string_view bytes) {
            const auto read = raft::DecodeMessage(bytes);
            return read ? raft::Encode(*read) : kUndecodable;
          }};
}

template <typename T, typename Decoder>
Case DurableCase(const std::string& name, const T& value, Decoder decode) {
  return {name, raft::Encode(value), [decode](std::string_view bytes) {
            const auto read = decode(bytes);
            return read ? raft::Encode(*read) : kUndecodable;
          }};
}

TEST(LogMessage_EachKind, HasGoldenBytes) {
  ExpectGolden(
      "log_messages.txt",
      {LogMessageCase("vote_request_minimal", raft::VoteRequest{}),
       LogMessageCase("vote_request_full", raft::VoteRequest{true, true, kLargeNumber, 70000, 300}),
       LogMessageCase("vote_request_handed", raft::VoteRequest{false, true, kLargeNumber, 70000, 300}),
       LogMessageCase("vote_answer_minimal", raft::VoteResponse{}),
       LogMessageCase("vote_answer_full", raft::VoteResponse{true, kLargeNumber, true}),
       LogMessageCase("vote_answer_granted", raft::VoteResponse{false, kLargeNumber, true}),
       LogMessageCase("append_minimal", raft::AppendEntriesRequest{}),
       LogMessageCase("append_full", raft::AppendEntriesRequest{kLargeNumber, 200, 70000, 300, 69000, 70001,
                                                                EntryOfEachKind()}),
       LogMessageCase("append_answer_minimal", raft::AppendEntriesResponse{}),
       LogMessageCase("append_answer_full", raft::AppendEntriesResponse{kLargeNumber, 200, true, 70000}),
       LogMessageCase("install_minimal", raft::InstallSnapshotRequest{}),
       LogMessageCase("install_full", raft::InstallSnapshotRequest{kLargeNumber, 200, FullSnapshot()}),
       LogMessageCase("hand_over_minimal", raft::TimeoutNowRequest{}),
       LogMessageCase("hand_over_full", raft::TimeoutNowRequest{kLargeNumber})});
}

TEST(LogRecord_EachKind, HasGoldenBytes) {
  ExpectGolden("log_records.txt",
               {DurableCase("entry_minimal", raft::Entry{}, raft::DecodeEntry),
                DurableCase("entry_full", FullEntry(), raft::DecodeEntry),
                DurableCase("promise_minimal", raft::HardState{}, raft::DecodeHardState),
                DurableCase("promise_full", raft::HardState{kLargeNumber, "proxy-2"}, raft::DecodeHardState),
                DurableCase("snapshot_minimal", raft::Snapshot{}, raft::DecodeSnapshot),
                DurableCase("snapshot_full", FullSnapshot(), raft::DecodeSnapshot)});
}

// ---- Messages about the replicated configuration ----

Case ConfigMessageCase(const std::string& name, replicated_config::MessageBody body,
                       const std::string& from = "proxy-1") {
  return {name, replicated_config::Encode(replicated_config::Message{from, std::move(body)}),
          [](std::string_view bytes) {
            const auto read = replicated_config::DecodeMessage(bytes);
            return read ? replicated_config::Encode(*read) : kUndecodable;
          }};
}

// Adds a case with the empty value of each alternative, in the order of the numbers on the wire.
template <std::size_t I = 0>
void AddMinimalMessages(std::vector<Case>& cases) {
  if constexpr (I < std::variant_size_v<replicated_config::MessageBody>) {
    cases.push_back(ConfigMessageCase("minimal_" + std::to_string(I),
                                      std::variant_alternative_t<I, replicated_config::MessageBody>{}, ""));
    AddMinimalMessages<I + 1>(cases);
  }
}

TEST(ConfigMessage_EachKind, HasGoldenBytes) {
  using namespace replicated_config;
  const std::vector<std::string> voters = {"proxy-1", "proxy-2"};
  const ConfigChange change{"id-1", 70000, kBinary, "someone", 1700000000000};
  std::vector<Case> cases = {
      ConfigMessageCase("logged", RaftMessage{raft::VoteRequest{true, false, kLargeNumber, 70000, 300}}),
      ConfigMessageCase("renew", LeaseRequest{{kLargeNumber, 70000}, 2, 300}),
      ConfigMessageCase("granted",
                        LeaseResponse{{kLargeNumber, 70000, 70001, Duration(-5'000'000'000), 300}, voters}),
      ConfigMessageCase("elsewhere", NotLeader{"proxy-2"}),
      ConfigMessageCase("fetch", DocumentRequest{70000}),
      ConfigMessageCase("fetched", DocumentResponse{70000, kBinary}),
      ConfigMessageCase("propose", ProposeRequest{change}),
      ConfigMessageCase("told_taken", ChangeResult{{"id-1", ChangeStatus::kCommitted, 70000, "why"}}),
      ConfigMessageCase("told_conflict", ChangeResult{{"id-1", ChangeStatus::kConflict, 70000, "why"}}),
      ConfigMessageCase("told_refused", ChangeResult{{"id-1", ChangeStatus::kRejected, 70000, "why"}}),
      ConfigMessageCase("told_unknown", ChangeResult{{"id-1", ChangeStatus::kUnknown, 70000, "why"}}),
      ConfigMessageCase("ask", ValidateRequest{"id-1", kBinary}),
      ConfigMessageCase("answer", ValidateResponse{"id-1", "why"}),
      ConfigMessageCase("voters", VoterChange{"id-1", "proxy-2", true}),
      ConfigMessageCase("read", ReadRequest{"id-1"}),
      ConfigMessageCase("read_out", ReadResponse{"id-1", 70001, 70000, voters}),
      ConfigMessageCase("hello", StoreHello{kLargeNumber, true, 300, 200, 70000}),
      ConfigMessageCase("hello_answer_blank",
                        StoreHelloResponse{kLargeNumber, 300, StoreOpinion::kResponderNotBootstrapped, {}}),
      ConfigMessageCase("hello_answer_fine",
                        StoreHelloResponse{kLargeNumber, 300, StoreOpinion::kNoObjection, {}}),
      ConfigMessageCase("hello_answer_older",
                        StoreHelloResponse{kLargeNumber, 300, StoreOpinion::kStaleStore, {}}),
      ConfigMessageCase(
          "hello_answer_founded",
          StoreHelloResponse{
              kLargeNumber, 300, StoreOpinion::kBootstrapVoter, {{"proxy-2", 2}, {"proxy-1", kLargeNumber}}}),
      ConfigMessageCase("hello_answer_stranger",
                        StoreHelloResponse{kLargeNumber, 300, StoreOpinion::kUnknownStore, {}}),
      ConfigMessageCase("invite", AdmitVoter{kLargeNumber})};
  AddMinimalMessages(cases);
  ExpectGolden("rules_notes.txt", cases);
}

// ---- The state machine of versions ----

replicated_config::ConfigChange ChangeFrom(replicated_config::Version from, const std::string& id) {
  return {id, from, "attempts " + std::to_string(from + 2) + "\n", "someone", 1700000000000};
}

Case StateMachineCase(const std::string& name, const replicated_config::ConfigStateMachine& state_machine) {
  return {name, state_machine.Snapshot(), [](std::string_view bytes) {
            replicated_config::ConfigStateMachine read;
            return read.Restore(bytes) ? read.Snapshot() : kUndecodable;
          }};
}

TEST(ConfigStateMachine_EntriesAndSnapshots, HaveGoldenBytes) {
  const std::string first = replicated_config::EncodeEntry(ChangeFrom(0, "id-1"));
  const std::string second = replicated_config::EncodeEntry(ChangeFrom(1, "id-2"));
  const std::string conflicting = replicated_config::EncodeEntry(ChangeFrom(1, "id-0"));
  replicated_config::ConfigStateMachine state_machine;
  for (const std::string& entry :
       {first, replicated_config::EncodeEntry(replicated_config::Version{1}), second, conflicting})
    state_machine.Apply(entry);
  ExpectGolden(
      "rules_book.txt",
      {{"change_minimal", replicated_config::EncodeEntry(replicated_config::ConfigChange{}), {}},
       {"change_full", replicated_config::EncodeEntry({"id-1", kLargeNumber, kBinary, "someone", -1}), {}},
       {"force_minimal", replicated_config::EncodeEntry(replicated_config::Version{0}), {}},
       {"force_full", replicated_config::EncodeEntry(replicated_config::Version{kLargeNumber}), {}},
       StateMachineCase("snapshot_minimal", replicated_config::ConfigStateMachine()),
       StateMachineCase("snapshot_full", state_machine)});
}

TEST(ConfigStateMachine_GoldenEntries, AreAppliedOrRejected) {
  auto golden = golden::ReadFixture("rules_book.txt");
  replicated_config::ConfigStateMachine state_machine;
  const auto outcome = state_machine.Apply(golden::FromHex(golden["change_minimal"]));
  ASSERT_TRUE(outcome);
  EXPECT_STREQ(replicated_config::NameOf(outcome->status), "taken");
  EXPECT_EQ(state_machine.latest_version(), 1u);
  EXPECT_FALSE(state_machine.Apply(golden::FromHex(golden["force_full"])))
      << "the entry names an unknown version";
  EXPECT_EQ(state_machine.active_version(), 0u);
  const auto conflict = state_machine.Apply(golden::FromHex(golden["change_full"]));
  ASSERT_TRUE(conflict);
  EXPECT_STREQ(replicated_config::NameOf(conflict->status), "conflict");
  EXPECT_EQ(conflict->id, "id-1");
}

}  // namespace
}  // namespace lemoncroft
