// Pins the bytes that are sent to clients, engines, operators and the simulator, and the canonical text of a
// configuration document.
//
// The scenarios pin the rest with the real program: responses, wait notices and drains sent to clients
// (served, clients, waiting, ending), the calls to engines (served, order, reports), and the replies to
// operators (management, byhand, handover). backend_test pins complete requests to engines.
#include <gtest/gtest.h>

#include "admin/command.h"
#include "codec/frame.h"
#include "codec/http.h"
#include "golden.h"
#include "replicated_config/document.h"
#include "wire.h"

namespace lemoncroft {
namespace {

using golden::FromHex;
using golden::ToHex;

// ---- Frames of clients ----

std::string FrameOf(std::uint8_t type, std::uint32_t stream, std::string_view payload = {}) {
  std::string out;
  codec::WriteFrame(out, type, stream, payload);
  return out;
}

std::string ResponseFrameOf(std::uint8_t type, std::uint8_t code, const codec::FieldViews& fields,
                            std::string_view body) {
  std::string out;
  codec::WriteResponse(out, type, 0x01020304, code, fields, body);
  return out;
}

std::string ReencodedFrame(std::string_view bytes) {
  codec::FrameReader reader;
  codec::Frame frame;
  if (reader.Next(bytes, frame) != codec::FrameReader::Result::kFrame) return "no frame";
  return FrameOf(frame.type, frame.stream, frame.payload);
}

std::string ReencodedResponse(std::string_view bytes) {
  codec::FrameReader reader;
  codec::Frame frame;
  if (reader.Next(bytes, frame) != codec::FrameReader::Result::kFrame) return "no frame";
  const auto fields = codec::ReadFields(frame.payload.substr(1));
  if (!fields) return "no fields";
  return ResponseFrameOf(frame.type, static_cast<std::uint8_t>(frame.payload[0]), fields->fields,
                         fields->body);
}

TEST(ClientFrame_EachKind, HasGoldenBytes) {
  const std::string long_text(300, 'x');
  golden::ExpectGolden(
      "client_frames.txt",
      {{"request_minimal", FrameOf(codec::kRequestFrame, 0), ReencodedFrame},
       {"request_full", FrameOf(codec::kRequestFrame, 0xfffefdfc, long_text), ReencodedFrame},
       {"cancel", FrameOf(codec::kCancelFrame, 2), ReencodedFrame},
       {"ready_ask", FrameOf(codec::kReadinessRequestFrame, 3, std::string_view("\0", 1)), ReencodedFrame},
       {"drain", FrameOf(codec::kDrainFrame, 0), ReencodedFrame},
       {"ready", ResponseFrameOf(codec::kReadinessResponseFrame, 0, {}, {}), ReencodedResponse},
       {"answer_minimal", ResponseFrameOf(codec::kResponseFrame, codec::kServedCode, {}, {}),
        ReencodedResponse},
       {"answer_served",
        ResponseFrameOf(codec::kResponseFrame, codec::kServedCode, {{"n", long_text}, {"", "v"}}, "a\tb\n"),
        ReencodedResponse},
       {"answer_refused",
        ResponseFrameOf(codec::kResponseFrame, codec::kRejectedCode, {{"later", "1000"}}, {}),
        ReencodedResponse},
       {"answer_failed", ResponseFrameOf(codec::kResponseFrame, codec::kFailedCode, {}, "why"),
        ReencodedResponse},
       {"estimate", ResponseFrameOf(codec::kWaitNoticeFrame, 0, {{"wait", "250"}}, {}), ReencodedResponse}});
}

// ---- Requests to engines ----

TEST(HttpHead_EachMethod, HasGoldenBytes) {
  using codec::HttpRequest;
  const struct {
    HttpRequest request;
    const char* head = nullptr;
  } cases[] = {
      {{"GET", "/v2/q/aa/0", {}, {}}, "GET /v2/q/aa/0 HTTP/1.1\r\nHost: engine:1\r\n\r\n"},
      {{"DELETE", "/v2/q/aa", {}, {}}, "DELETE /v2/q/aa HTTP/1.1\r\nHost: engine:1\r\n\r\n"},
      {{"PUT", "/v2/q/aa", {}, "7"}, "PUT /v2/q/aa HTTP/1.1\r\nHost: engine:1\r\nContent-Length: 1\r\n\r\n"},
      {{"POST", "/", {}, {}}, "POST / HTTP/1.1\r\nHost: engine:1\r\nContent-Length: 0\r\n\r\n"},
      {{"POST", "/v2/q", {{"X-B", "2 3"}, {"X-A", ""}}, "select 1"},
       "POST /v2/q HTTP/1.1\r\nHost: engine:1\r\nX-B: 2 3\r\nX-A: \r\nContent-Length: 8\r\n\r\n"}};
  for (const auto& one : cases) EXPECT_EQ(codec::WriteHead(one.request, "engine:1"), one.head);
  for (const std::string& end : {std::string("\r"), std::string("\n"), std::string(1, '\0')})
    EXPECT_FALSE(codec::WriteHead({"GET", "/", {{"X-A", "a" + end}}, {}}, "engine:1"));
}

// ---- Calls of operators ----

std::string CommandOrError(std::string_view line) {
  const auto command = admin::ParseCommand(line);
  if (!command) return admin::Describe(command.error());
  return std::to_string(static_cast<int>(command->type)) + " " + command->engine;
}

TEST(OperatorCall_EachLine, GivesItsCommandOrError) {
  const std::pair<const char*, const char*> cases[] = {
      {"readyz", "0 "},
      {"telemetry", "1 "},
      {"exclude s-1", "2 s-1"},
      {"\tinclude  s-2 ", "3 s-2"},
      {"", "empty call"},
      {"telemetry x", "telemetry takes no argument"},
      {"include", "include takes the id of one database"},
      {"exclude a b", "exclude takes the id of one database"},
      {"Readyz", "unknown call; there are readyz, telemetry, exclude ID, include ID"},
      {"readyz \x7f", "a call is plain text"}};
  for (const auto& [line, meaning] : cases) EXPECT_EQ(CommandOrError(line), meaning) << line;
}

TEST(OperatorCall_LineEnds, AreAcceptedUpToTheLimit) {
  using State = admin::LineReader::State;
  const std::string longest_line(256, 'a');
  const struct {
    std::string bytes;
    State state;
    std::string line;
  } cases[] = {{"readyz", State::kNeedMore, "readyz"},
               {"readyz\r\nrest", State::kLine, "readyz"},
               {longest_line + "\r\n", State::kLine, longest_line},
               {longest_line + "a\n", State::kTooLong, longest_line + "a"}};
  for (const auto& one : cases) {
    admin::LineReader reader;
    EXPECT_EQ(reader.Feed(one.bytes), one.state) << one.bytes;
    EXPECT_EQ(reader.line(), one.line);
  }
}

// ---- The simulator ----

TEST(BenchReply_EachAction, HasGoldenBytes) {
  constexpr RequestId kId = 0x0123456789abcdef;
  simulator_adapter::ReplyWriter writer;
  const auto reply = [&](const std::vector<Action>& actions) {
    writer.Clear();
    writer.Add(0x0102, actions);
    return writer.Finish();
  };
  golden::ExpectGolden("bench_replies.txt", {{"empty", reply({}), {}},
                                             {"terms", reply({ResourceGrant{kId, 7, 384.5}}), {}},
                                             {"send", reply({Send{kId, 0x03124a07, 0x04c4b400, 5}}), {}},
                                             {"cancel", reply({Cancel{kId, 3}}), {}},
                                             {"refuse", reply({RejectRequest{kId, 1'000'000'000}}), {}},
                                             {"fail", reply({FailRequest{kId}}), {}},
                                             {"wake_at", reply({WakeAt{0x213362490, 0x4d}}), {}},
                                             {"probe", reply({Probe{0x03124a07}}), {}},
                                             {"watch_on", reply({WatchEngineList{true}}), {}},
                                             {"watch_off", reply({WatchEngineList{false}}), {}},
                                             {"log_line", reply({LogLine{"a line"}}), {}}});
}

TEST(BenchReply_LongLogLine, IsCutAt65535Bytes) {
  simulator_adapter::ReplyWriter writer;
  writer.Add(1, {LogLine{std::string(70000, 'x')}});
  const std::string reply = writer.Finish();
  EXPECT_EQ(ToHex(reply.substr(0, 14)),
            "0000000200010005"
            "0e0001"
            "09ffff");
  EXPECT_EQ(reply.size(), 8u + 3 + 3 + 65535);
}

// Decodes records. Used for the records that wire_test doesn't check field by field.
std::vector<simulator_adapter::InstanceBatch> Decoded(const std::string& hex, std::size_t records) {
  simulator_adapter::Decoder decoder;
  const std::string body = FromHex(hex);
  return decoder.Decode({body.size(), records, 1}, body);
}

TEST(BenchEvent_FurtherKinds, AreDecodedFieldByField) {
  const auto batches = Decoded(
      "0d0003"
      "04"
      "0123456789abcdef"
      "03124a07"
      "0002"
      "00000000011a49a0"
      "08"
      "00000000011a49a0"
      "03124a07"
      "0004"
      "01"
      "40e00000"
      "09"
      "0102"
      "0003"
      "616263"
      "0b"
      "0123456789abcdef"
      "0002"
      "03124a07"
      "02"
      "40000000"
      "02"
      "03"
      "0000"
      "00000007",
      6);
  ASSERT_EQ(batches.size(), 1u);
  const auto& events = batches[0].events;
  ASSERT_EQ(events.size(), 5u);
  const auto& started = std::get<StreamStarted>(events[0]);
  EXPECT_EQ(started.id, 0x0123456789abcdefu);
  EXPECT_EQ(started.attempt, 2);
  const auto& probed = std::get<ProbeEnded>(events[1]);
  EXPECT_EQ(probed.engine, 0x03124a07u);
  EXPECT_EQ(probed.elapsed, 18'500'000);
  EXPECT_EQ(probed.outcome, Outcome::kTimeout);
  EXPECT_EQ(probed.load_report.count, 1);
  EXPECT_EQ(probed.load_report.values[0], 7.0F);
  const auto& message = std::get<PeerMessage>(events[2]);
  EXPECT_EQ(message.sender, 0x0102);
  EXPECT_EQ(message.body, "abc");
  const auto& note = std::get<ProgressNotice>(events[3]);
  EXPECT_EQ(note.id, 0x0123456789abcdefu);
  EXPECT_EQ(note.attempt, 2);
  EXPECT_EQ(note.kind, NoticeKind::kSpills);
  EXPECT_EQ(note.amount, 2.0);
  const auto& list = std::get<EngineList>(events[4]);
  EXPECT_EQ(list.kind, ListKind::kFailed);
  EXPECT_EQ(list.entries, nullptr);
}

TEST(BenchEvent_EachOutcomeCode, IsDecodedAsItsOutcome) {
  const Outcome outcomes[] = {Outcome::kOk,        Outcome::kError,         Outcome::kFull,
                              Outcome::kTimeout,   Outcome::kConnectFailed, Outcome::kReset,
                              Outcome::kCancelled, Outcome::kNotSent};
  for (std::size_t i = 0; i < std::size(outcomes); ++i) {
    const auto batches = Decoded(
        "0d0003"
        "08"
        "0000000000000000"
        "00000001"
        "000" +
            std::to_string(i + 1) + "00",
        2);
    EXPECT_EQ(std::get<ProbeEnded>(batches.at(0).events.at(0)).outcome, outcomes[i]) << i + 1;
  }
}

TEST(BenchEvent_StartAndEnd, AreDecodedWithSeedAndSettings) {
  const std::string setup = "siblings=3\n";
  const auto batches = Decoded(
      "0d0003"
      "0a"
      "01"
      "0123456789abcdef"
      "0000000b" +
          ToHex(setup),
      3);
  ASSERT_EQ(batches.size(), 1u);
  EXPECT_TRUE(batches[0].stopped);
  EXPECT_TRUE(batches[0].started);
  EXPECT_EQ(batches[0].seed, 0x0123456789abcdefu);
  EXPECT_EQ(batches[0].settings.gateway_count, 3);
}

// ---- The configuration document ----

constexpr const char* kCompleteDocument = R"(format 1
attempts 3
open-most 900
further-attempts free=2 ratio=0.125 over="10000ms"
class "a" { effect "pure"; group "all"; repeat-window "1500us"; }
class "b" { effect "token"; group "zone"; repeat-window "2ms"; }
class "c" { effect "side_effect"; group "cell"; }
class "d" { }
tenant "acme" { quota 12.5; }
tenant "none" { }
team "acme" { burst "1000ms"; cores 4.5; threads 3; waiting 50; }
out "e7" "e8"
cut-off "10000ms" { class "b"; engine "e1" "e2"; }
)";

std::string Reserialized(std::string_view text) {
  const auto read = replicated_config::ParseDocument(text);
  return read ? replicated_config::SerializeDocument(*read) : read.error().Text();
}

TEST(ConfigDocument_CanonicalText, IsReproducedByteForByte) {
  EXPECT_EQ(Reserialized(kCompleteDocument), kCompleteDocument);
  EXPECT_EQ(Reserialized(""), "format 1\n");
  EXPECT_EQ(Reserialized("format 2"), "format 2\n");
}

TEST(ConfigDocument_CompleteAgainstEmpty, HasGoldenDifferences) {
  const replicated_config::Document complete = replicated_config::ParseDocument(kCompleteDocument).value();
  replicated_config::Document changed = complete;
  changed.max_attempts = 4;
  EXPECT_EQ(replicated_config::Differences(complete, changed),
            std::vector<std::string>{"~ attempts: 3 -> 4"});
  std::string added;
  for (const std::string& line : replicated_config::Differences({}, complete)) added += line + "\n";
  EXPECT_EQ(added, R"(+ attempts: 3
+ class a
+ class a effect: pure
+ class a group: all
+ class a repeat-window: 1500us
+ class b
+ class b effect: token
+ class b group: zone
+ class b repeat-window: 2ms
+ class c
+ class c effect: side_effect
+ class c group: cell
+ class d
+ cut-off class: "b"
+ cut-off engine: "e1" "e2"
+ cut-off lasts: 10000ms
+ further-attempts: free=2 ratio=0.125 over="10000ms"
+ open-most: 900
+ out e7
+ out e8
+ team acme
+ team acme burst: 1000ms
+ team acme cores: 4.5
+ team acme threads: 3
+ team acme waiting: 50
+ tenant acme
+ tenant acme quota: 12.5
+ tenant none
)");
}

}  // namespace
}  // namespace lemoncroft
