// Pins the bytes between proxies and in the store: frames of the peer protocol, messages and durable records
// of the log, notes on rules, entries and snapshots of the book of versions.
#include <gtest/gtest.h>

#include "agreement/codec.h"
#include "golden.h"
#include "peerlink/frame.h"
#include "rules/book.h"
#include "rules/notes.h"

namespace lemoncroft {
namespace {

using golden::Case;
using golden::ExpectGolden;

constexpr const char* kFleet = "north";
const std::string kUndecodable = "undecodable";
constexpr std::uint64_t kBig = 0x0123456789abcdef;
const std::string kBinary("a\0\xff\n", 4);

// ---- Frames between proxies ----

peers::Record FullRecord() {
  return {.id = kBig,
          .name = "proxy-1",
          .address = {0x7f000001, 7400},
          .zone = "b",
          .phase = peers::Phase::kEnding,
          .generation = 70000,
          .incarnation = std::uint64_t{1} << 40,
          .attributes = {{"rack", "r7"}, {"build", ""}}};
}

peers::Sums FullSums() {
  peers::Sums sums{};
  for (std::size_t i = 0; i < sums.size(); ++i) sums[i] = i * 0x0101010101010101;
  return sums;
}

std::vector<peers::News> NewsOfEachStatus() {
  std::vector<peers::News> all;
  for (const auto status :
       {peers::Status::kAlive, peers::Status::kSuspect, peers::Status::kFailed, peers::Status::kLeft})
    all.push_back({status, FullRecord(), 300 + static_cast<std::uint64_t>(status)});
  return all;
}

Case PeerCase(const std::string& name, const peerlink::Message& message) {
  return {name, peerlink::Encode(kFleet, message), [](std::string_view bytes) {
            const auto read = peerlink::Decode(kFleet, bytes, peerlink::kStreamMost);
            const auto* decoded = std::get_if<peerlink::Message>(&read);
            return decoded != nullptr ? peerlink::Encode(kFleet, *decoded) : kUndecodable;
          }};
}

Case DatagramCase(const std::string& name, const peers::Body& body) {
  peers::Record sender;
  sender.id = 7;
  sender.name = "p";
  return PeerCase(name, peers::Datagram{sender, 9, body, {}});
}

TEST(PeerFrame_EachMessageKind, HasGoldenBytes) {
  ExpectGolden(
      "peer_frames.txt",
      {PeerCase("datagram_minimal", peers::Datagram{{}, 0, peers::Gossip{}, {}}),
       PeerCase("datagram_full",
                peers::Datagram{FullRecord(), kBig, peers::PingRequest{90000, kBig + 1, {0x0a000102, 65535}},
                                NewsOfEachStatus()}),
       DatagramCase("datagram_ping", peers::Ping{1, 2}),
       DatagramCase("datagram_ping_request", peers::PingRequest{3, 4, {0x7f000002, 80}}),
       DatagramCase("datagram_ack", peers::Ack{5, 6}), DatagramCase("datagram_nack", peers::Nack{7}),
       DatagramCase("datagram_stranger", peers::Stranger{8}),
       DatagramCase("datagram_gossip", peers::Gossip{}), PeerCase("opening_minimal", peers::Opening{}),
       PeerCase("opening_full", peers::Opening{FullRecord(), FullSums()}),
       PeerCase("entries_minimal", peers::Entries{}),
       PeerCase("entries_full", peers::Entries{FullRecord(), FullSums(), NewsOfEachStatus()}),
       PeerCase("parcel_minimal", peerlink::Parcel{}),
       PeerCase("parcel_rules", peerlink::Parcel{1, peerlink::Part::kRules, kBinary}),
       PeerCase("parcel_call", peerlink::Parcel{kBig, peerlink::Part::kCall, "readyz"}),
       PeerCase("parcel_call_long", peerlink::Parcel{7, peerlink::Part::kCall, std::string(300, 'x')}),
       PeerCase("parcel_lists", peerlink::Parcel{kBig, peerlink::Part::kLists, std::string(300, 'x')})});
}

// The checksum itself is pinned by the bytes above; each part of the header is looked at.
TEST(PeerFrame_WrongHeader, IsAFaultOfItsKind) {
  const std::string good = golden::FromHex(golden::ReadFixture("peer_frames.txt")["datagram_full"]);
  const auto fault = [&](const std::string& frame, std::string_view fleet, std::size_t most) {
    const auto read = peerlink::Decode(fleet, frame, most);
    return std::holds_alternative<peerlink::Fault>(read)
               ? std::string(peerlink::NameOf(std::get<peerlink::Fault>(read)))
               : "none";
  };
  const auto changed = [&](std::size_t at) {
    std::string frame = good;
    frame[at] = static_cast<char>(frame[at] ^ 0x10);
    return frame;
  };
  EXPECT_EQ(fault(good, kFleet, good.size()), "none");
  EXPECT_EQ(fault(changed(3), kFleet, good.size()), "none") << "a later minor version";
  EXPECT_EQ(fault(changed(0), kFleet, good.size()), "garbled") << "magic";
  EXPECT_EQ(fault(changed(1), kFleet, good.size()), "garbled") << "magic";
  EXPECT_EQ(fault(changed(2), kFleet, good.size()), "version");
  for (std::size_t at = 4; at < 12; ++at) EXPECT_EQ(fault(changed(at), kFleet, good.size()), "garbled") << at;
  EXPECT_EQ(fault(changed(good.size() - 1), kFleet, good.size()), "garbled") << "body";
  EXPECT_EQ(fault(good.substr(0, 12), kFleet, good.size()), "cut");
  EXPECT_EQ(fault(good, kFleet, good.size() - 1), "too long");
  EXPECT_EQ(fault(good, "south", good.size()), "foreign");
}

// ---- The log ----

agreement::Entry FullEntry() {
  return {kBig, 70000, agreement::Kind::kVoters, kBinary, {"proxy-1", "proxy-2"}};
}
agreement::Snapshot FullSnapshot() { return {70000, kBig, {"proxy-1", "proxy-2"}, kBinary}; }

std::vector<agreement::Entry> EntryOfEachKind() {
  return {{1, 2, agreement::Kind::kNothing, "", {}}, {1, 3, agreement::Kind::kData, "data", {}}, FullEntry()};
}

Case LogMessageCase(const std::string& name, const agreement::Message& message) {
  return {name, agreement::Encode(message), [](std::string_view bytes) {
            const auto read = agreement::DecodeMessage(bytes);
            return read ? agreement::Encode(*read) : kUndecodable;
          }};
}

template <typename T, typename Decoder>
Case DurableCase(const std::string& name, const T& value, Decoder decode) {
  return {name, agreement::Encode(value), [decode](std::string_view bytes) {
            const auto read = decode(bytes);
            return read ? agreement::Encode(*read) : kUndecodable;
          }};
}

TEST(LogMessage_EachKind, HasGoldenBytes) {
  ExpectGolden("log_messages.txt",
               {LogMessageCase("vote_request_minimal", agreement::VoteRequest{}),
                LogMessageCase("vote_request_full", agreement::VoteRequest{true, true, kBig, 70000, 300}),
                LogMessageCase("vote_request_handed", agreement::VoteRequest{false, true, kBig, 70000, 300}),
                LogMessageCase("vote_answer_minimal", agreement::VoteAnswer{}),
                LogMessageCase("vote_answer_full", agreement::VoteAnswer{true, kBig, true}),
                LogMessageCase("vote_answer_granted", agreement::VoteAnswer{false, kBig, true}),
                LogMessageCase("append_minimal", agreement::Append{}),
                LogMessageCase("append_full",
                               agreement::Append{kBig, 200, 70000, 300, 69000, 70001, EntryOfEachKind()}),
                LogMessageCase("append_answer_minimal", agreement::AppendAnswer{}),
                LogMessageCase("append_answer_full", agreement::AppendAnswer{kBig, 200, true, 70000}),
                LogMessageCase("install_minimal", agreement::Install{}),
                LogMessageCase("install_full", agreement::Install{kBig, 200, FullSnapshot()}),
                LogMessageCase("hand_over_minimal", agreement::HandOver{}),
                LogMessageCase("hand_over_full", agreement::HandOver{kBig})});
}

TEST(LogRecord_EachKind, HasGoldenBytes) {
  ExpectGolden("log_records.txt",
               {DurableCase("entry_minimal", agreement::Entry{}, agreement::DecodeEntry),
                DurableCase("entry_full", FullEntry(), agreement::DecodeEntry),
                DurableCase("promise_minimal", agreement::Promise{}, agreement::DecodePromise),
                DurableCase("promise_full", agreement::Promise{kBig, "proxy-2"}, agreement::DecodePromise),
                DurableCase("snapshot_minimal", agreement::Snapshot{}, agreement::DecodeSnapshot),
                DurableCase("snapshot_full", FullSnapshot(), agreement::DecodeSnapshot)});
}

// ---- Notes on rules ----

Case NoteCase(const std::string& name, rules::NoteBody body, const std::string& from = "proxy-1") {
  return {name, rules::Encode(rules::Note{from, std::move(body)}), [](std::string_view bytes) {
            const auto read = rules::DecodeNote(bytes);
            return read ? rules::Encode(*read) : kUndecodable;
          }};
}

// Of each alternative the empty value, in the order of their numbers on the wire.
template <std::size_t I = 0>
void AddMinimalNotes(std::vector<Case>& cases) {
  if constexpr (I < std::variant_size_v<rules::NoteBody>) {
    cases.push_back(
        NoteCase("minimal_" + std::to_string(I), std::variant_alternative_t<I, rules::NoteBody>{}, ""));
    AddMinimalNotes<I + 1>(cases);
  }
}

TEST(RulesNote_EachKind, HasGoldenBytes) {
  using namespace rules;
  const std::vector<std::string> voters = {"proxy-1", "proxy-2"};
  const Change change{"id-1", 70000, kBinary, "someone", 1700000000000};
  std::vector<Case> cases = {
      NoteCase("logged", Logged{agreement::VoteRequest{true, false, kBig, 70000, 300}}),
      NoteCase("renew", Renew{{kBig, 70000}, 2, 300}),
      NoteCase("granted", Granted{{kBig, 70000, 70001, Span(-5'000'000'000), 300}, voters}),
      NoteCase("elsewhere", Elsewhere{"proxy-2"}),
      NoteCase("fetch", Fetch{70000}),
      NoteCase("fetched", Fetched{70000, kBinary}),
      NoteCase("propose", Propose{change}),
      NoteCase("told_taken", Told{{"id-1", Verdict::kTaken, 70000, "why"}}),
      NoteCase("told_conflict", Told{{"id-1", Verdict::kConflict, 70000, "why"}}),
      NoteCase("told_refused", Told{{"id-1", Verdict::kRefused, 70000, "why"}}),
      NoteCase("told_unknown", Told{{"id-1", Verdict::kUnknown, 70000, "why"}}),
      NoteCase("ask", Ask{"id-1", kBinary}),
      NoteCase("answer", Answer{"id-1", "why"}),
      NoteCase("voters", Voters{"id-1", "proxy-2", true}),
      NoteCase("read", Read{"id-1"}),
      NoteCase("read_out", ReadOut{"id-1", 70001, 70000, voters}),
      NoteCase("hello", Hello{kBig, true, 300, 200, 70000}),
      NoteCase("hello_answer_blank", HelloAnswer{kBig, 300, Welcome::kBlank, {}}),
      NoteCase("hello_answer_fine", HelloAnswer{kBig, 300, Welcome::kFine, {}}),
      NoteCase("hello_answer_older", HelloAnswer{kBig, 300, Welcome::kOlder, {}}),
      NoteCase("hello_answer_founded",
               HelloAnswer{kBig, 300, Welcome::kFounded, {{"proxy-2", 2}, {"proxy-1", kBig}}}),
      NoteCase("hello_answer_stranger", HelloAnswer{kBig, 300, Welcome::kStranger, {}}),
      NoteCase("invite", Invite{kBig})};
  AddMinimalNotes(cases);
  ExpectGolden("rules_notes.txt", cases);
}

// ---- The book of versions ----

rules::Change ChangeFrom(rules::Version from, const std::string& id) {
  return {id, from, "attempts " + std::to_string(from + 2) + "\n", "someone", 1700000000000};
}

Case BookCase(const std::string& name, const rules::Book& book) {
  return {name, book.Snapshot(), [](std::string_view bytes) {
            rules::Book read;
            return read.Restore(bytes) ? read.Snapshot() : kUndecodable;
          }};
}

TEST(Book_EntriesAndSnapshots, HaveGoldenBytes) {
  const std::string first = rules::EntryOf(ChangeFrom(0, "id-1"));
  const std::string second = rules::EntryOf(ChangeFrom(1, "id-2"));
  const std::string conflicting = rules::EntryOf(ChangeFrom(1, "id-0"));
  rules::Book book;
  for (const std::string& entry : {first, rules::EntryOf(rules::Version{1}), second, conflicting})
    book.Apply(entry);
  ExpectGolden("rules_book.txt", {{"change_minimal", rules::EntryOf(rules::Change{}), {}},
                                  {"change_full", rules::EntryOf({"id-1", kBig, kBinary, "someone", -1}), {}},
                                  {"force_minimal", rules::EntryOf(rules::Version{0}), {}},
                                  {"force_full", rules::EntryOf(rules::Version{kBig}), {}},
                                  BookCase("snapshot_minimal", rules::Book()),
                                  BookCase("snapshot_full", book)});
}

TEST(Book_GoldenEntriesApplied, GiveTheGoldenSnapshot) {
  auto golden = golden::ReadFixture("rules_book.txt");
  rules::Book book;
  const auto outcome = book.Apply(golden::FromHex(golden["change_minimal"]));
  ASSERT_TRUE(outcome);
  EXPECT_STREQ(rules::NameOf(outcome->verdict), "taken");
  EXPECT_EQ(book.newest(), 1u);
  EXPECT_FALSE(book.Apply(golden::FromHex(golden["force_full"]))) << "of a version that isn't there";
  EXPECT_EQ(book.in_force(), 0u);
  const auto conflict = book.Apply(golden::FromHex(golden["change_full"]));
  ASSERT_TRUE(conflict);
  EXPECT_STREQ(rules::NameOf(conflict->verdict), "conflict");
  EXPECT_EQ(conflict->id, "id-1");
}

}  // namespace
}  // namespace lemoncroft
