// The codec of the simulator's protocol, with valid and invalid frames.
#include "wire.h"

#include <gtest/gtest.h>

#include <random>

namespace lemoncroft::simulator_adapter {
namespace {

std::string FromHex(std::string_view text) {
  std::string out;
  int half = -1;
  for (char c : text) {
    int v = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (v < 0) continue;
    if (half < 0) {
      half = v;
    } else {
      out.push_back(static_cast<char>(half * 16 + v));
      half = -1;
    }
  }
  return out;
}

std::vector<InstanceBatch> DecodeBody(const std::string& body, std::size_t records) {
  Decoder decoder;
  return decoder.Decode({body.size(), records, 1}, body);
}

TEST(DecodeHeader, EmptyBatch_IsRead) {
  BatchHeader h = DecodeHeader(FromHex("00000000 00000000 00000001f568bf90"));
  EXPECT_EQ(h.length, 0u);
  EXPECT_EQ(h.records, 0u);
  EXPECT_EQ(h.now, 0x1f568bf90);
}

TEST(DecodeHeader, InvalidValues_Throw) {
  EXPECT_THROW(DecodeHeader(FromHex("00000000 0000")), WireError);
  EXPECT_THROW(DecodeHeader(FromHex("ffffffff 00000001 0000000000000000")), WireError);
  EXPECT_THROW(DecodeHeader(FromHex("00000004 00000005 0000000000000000")), WireError);
  EXPECT_THROW(DecodeHeader(FromHex("00000004 00000001 ffffffffffffffff")), WireError);
}

const char kTwoInstances[] =
    "0d 0003 03 0003fcd55d3a91c4 0000 0000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 43c00000"
    "41300000 0001 07 000000000000004d 0d 0005 06 000814800e6f2b19";

TEST(Decoder, EventsOfTwoInstances_AreReadByInstance) {
  auto batches = DecodeBody(FromHex(kTwoInstances), 5);
  ASSERT_EQ(batches.size(), 2u);
  EXPECT_EQ(batches[0].instance, 3);
  ASSERT_EQ(batches[0].events.size(), 2u);
  const auto& r = std::get<Request>(batches[0].events[0]);
  EXPECT_EQ(r.id, 0x0003fcd55d3a91c4u);
  EXPECT_EQ(r.ordering_key, 0x91f03b7c55d20a64u);
  EXPECT_EQ(r.client_timeout, 0x0e4e1c00);
  EXPECT_EQ(r.estimated_work, 0xb71b00);
  EXPECT_EQ(r.estimated_memory_mb, 384);
  EXPECT_EQ(r.table_group, 11u);
  EXPECT_EQ(std::get<TimerFired>(batches[0].events[1]).token, 0x4du);
  EXPECT_EQ(batches[1].instance, 5);
  EXPECT_EQ(std::get<RequestCancelled>(batches[1].events[0]).id, 0x000814800e6f2b19u);
}

TEST(Decoder, PageListAndOutcome_AreRead) {
  auto batches = DecodeBody(
      FromHex("0d 0003 0c 0000 00000002 3f800000 01 0000 0000 0000000000000000 03124a07 0000"
              "3fc00000 03 0000 0000 000000016b969d00 2c9011f2 0000 02 02 0000 00000029"
              "05 0003fcd55d3a91c4 0000 03124a07 0001 00000000011a49a0 01 00011060 02 40e000003f1eb852"),
      4);
  ASSERT_EQ(batches.size(), 1u);
  const auto& list = std::get<EngineList>(batches[0].events[0]);
  EXPECT_EQ(list.kind, ListKind::kCached);
  ASSERT_EQ(list.entries->size(), 2u);
  EXPECT_EQ((*list.entries)[1].readiness, Readiness::kDraining);
  EXPECT_EQ((*list.entries)[1].engine, 0x2c9011f2u);
  const auto& end = std::get<AttemptEnded>(batches[0].events[1]);
  EXPECT_EQ(end.outcome, Outcome::kOk);
  EXPECT_TRUE(end.request_finished);
  EXPECT_EQ(end.work, 17'000'000);
  EXPECT_EQ(end.memory_mb, 0x60 * 4);
  EXPECT_EQ(end.load_report.count, 2);
  EXPECT_FLOAT_EQ(end.load_report.values[0], 7);
}

TEST(Decoder, InvalidFrames_Throw) {
  const std::string good = FromHex(kTwoInstances);
  for (std::size_t n = 0; n < good.size(); ++n)
    EXPECT_THROW(DecodeBody(good.substr(0, n), 5), WireError) << n;
  EXPECT_THROW(DecodeBody(good, 4), WireError) << "bytes left over";
  EXPECT_THROW(DecodeBody(FromHex("0d 0003 63"), 2), WireError) << "unknown code";
  EXPECT_THROW(DecodeBody(FromHex("07 000000000000004d"), 1), WireError) << "no instance";
  EXPECT_THROW(DecodeBody(FromHex("0d 0003 02 00 0003 00000001"), 2), WireError) << "unknown page";
  EXPECT_THROW(DecodeBody(FromHex("0c 0010 00000000"), 1), WireError) << "page out of range";
  EXPECT_THROW(DecodeBody(FromHex("0c 0000 ffffffff"), 1), WireError) << "count out of range";
}

TEST(Decoder, MutatedFrames_ThrowOrDecode) {
  std::mt19937 random(1);
  const std::string good = FromHex(kTwoInstances);
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string bad = good;
    for (int k = 0; k < 3; ++k) bad[random() % bad.size()] = static_cast<char>(random());
    try {
      DecodeBody(bad, 5);
    } catch (const WireError&) {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 100);
}

TEST(ParseSettings, ValidValuesAreRead_InvalidOnesThrow) {
  Settings s = ParseSettings(
      "siblings=3\ndcs=a,b\nflavors=std\nrequestClasses.count=1\nrequestClasses.0.promiseNs=500000000\n"
      "requestClasses.0.effect=token\nrequestClasses.0.staysIn=b\nspecifics.threadsByClass=4\n"
      "guarantees.fallNs=1500000000\nunknown.key=x\n");
  EXPECT_EQ(s.gateway_count, 3);
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].effect, Effect::kKeyed);
  EXPECT_EQ(s.classes[0].zones, std::vector<std::uint16_t>{1});
  EXPECT_EQ(s.classes[0].threads, 4);
  EXPECT_EQ(s.overload_window, 1500 * 1000000);
  EXPECT_FALSE(s.retry_budget.has_value());
  EXPECT_THROW(ParseSettings("siblings=many"), WireError);
  EXPECT_THROW(ParseSettings("siblings"), WireError);
  EXPECT_THROW(ParseSettings("requestClasses.count=1e12"), WireError);
  EXPECT_THROW(ParseSettings("limits.cancel=perhaps"), WireError);
}

TEST(ReplyWriter, ExampleOfTheProtocol_IsEncodedExactly) {
  // The length in the example, 0x40, is replaced: its records have 0x42 bytes.
  ReplyWriter reply;
  reply.Add(3, {Send{0x0003fcd55d3a91c4, 0x03124a07, 0x04c4b400}, WakeAt{0x213362490, 0x4d}});
  reply.Add(5, {LogLine{"two servers unknown"}});
  EXPECT_EQ(reply.Finish(), FromHex("00000005 00000040 0e 0003 01 0003fcd55d3a91c4 03124a07 0000000004c4b400"
                                    "05 0000000213362490 000000000000004d 0e 0005"
                                    "09 0013 74776f207365727665727320756e6b6e6f776e")
                                .replace(7, 1, "\x42"));
}

}  // namespace
}  // namespace lemoncroft::simulator_adapter
