#include "wire.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "record_codes.h"
#include "settings/settings.h"

namespace lemoncroft::simulator_adapter {
namespace {

constexpr std::size_t kPageEntryBytes = 23;
constexpr float kMaxTableGroup = 4e9F;
constexpr Nanos kNanosPerMs = 1'000'000;

[[noreturn]] void ThrowWireError(const std::string& what, std::size_t at) {
  throw WireError(what + " at byte " + std::to_string(at));
}

// Reads big-endian fields from a batch with bounds checks. `what` names the field in errors.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  bool AtEnd() const { return at_ == bytes_.size(); }
  std::size_t at() const { return at_; }

  template <typename T>
  T Int(const char* what) {
    std::string_view raw = Bytes(sizeof(T), what);
    std::uint64_t value = 0;
    for (char c : raw) value = (value << 8) | static_cast<unsigned char>(c);
    return static_cast<T>(value);
  }
  float Float(const char* what) {
    float value = std::bit_cast<float>(Int<std::uint32_t>(what));
    if (!std::isfinite(value)) ThrowWireError(std::string("not a finite number: ") + what, at_ - 4);
    return value;
  }
  Nanos Time(const char* what) {
    constexpr auto kMaxTime = static_cast<std::uint64_t>(std::numeric_limits<Nanos>::max() / 4);
    auto value = Int<std::uint64_t>(what);
    if (value > kMaxTime) ThrowWireError(std::string("time out of range: ") + what, at_ - 8);
    return static_cast<Nanos>(value);
  }
  std::string_view Bytes(std::size_t n, const char* what) {
    if (n > bytes_.size() - at_) ThrowWireError(std::string("truncated batch: ") + what, at_);
    std::string_view out = bytes_.substr(at_, n);
    at_ += n;
    return out;
  }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
};

// ---- Fields ----

Outcome ReadOutcome(Reader& in) {
  const std::size_t at = in.at();
  auto code = in.Int<std::uint16_t>("status");
  if (code < kFirstOutcome || code > kLastOutcome)
    ThrowWireError("unknown outcome " + std::to_string(code), at);
  return static_cast<Outcome>(code - kFirstOutcome);
}

Readiness ReadReadiness(Reader& in) {
  auto code = in.Int<std::uint8_t>("readiness");
  switch (static_cast<ReadinessCode>(code)) {
    case ReadinessCode::kReady:
      return Readiness::kReady;
    case ReadinessCode::kRemoved:
      return Readiness::kRemoved;
    case ReadinessCode::kDraining:
      return Readiness::kDraining;
  }
  ThrowWireError("unknown readiness " + std::to_string(code), in.at() - 1);
}

// Drops the values that do not fit into a LoadReport.
LoadReport ReadLoadReport(Reader& in) {
  constexpr std::uint8_t kMaxValues = 4;
  LoadReport report;
  auto count = in.Int<std::uint8_t>("load report's count");
  for (int i = 0; i < count; ++i) {
    float value = in.Float("load report's value");
    if (i < kMaxValues) report.values[static_cast<std::size_t>(i)] = value;
  }
  report.count = std::min(count, kMaxValues);
  return report;
}

std::vector<EngineEntry> ReadPageEntries(Reader& in) {
  auto count = in.Int<std::uint32_t>("page's count");
  Reader entries(in.Bytes(std::size_t{count} * kPageEntryBytes, "page's entries"));
  std::vector<EngineEntry> out(count);
  for (EngineEntry& entry : out) {
    entry.weight = entries.Float("weight");
    entry.readiness = ReadReadiness(entries);
    entry.kind = entries.Int<std::uint16_t>("model");
    entry.cell = entries.Int<std::uint16_t>("cohort");
    entry.started_at = entries.Time("startedAtNs");
    entry.engine = entries.Int<std::uint32_t>("engine");
    entry.zone = entries.Int<std::uint16_t>("dc");
  }
  return out;
}

// ---- Events ----

EngineList ReadEngineList(Reader& in, const Pages& pages, std::size_t record_at) {
  auto kind = in.Int<std::uint8_t>("how");
  auto page = in.Int<std::uint16_t>("page number");
  in.Int<std::uint32_t>("serial");
  if (kind > kLastListKind) ThrowWireError("unknown list kind " + std::to_string(kind), record_at);
  EngineList list{static_cast<ListKind>(kind), nullptr};
  if (list.kind == ListKind::kFailed) return list;
  if (page >= pages.size() || !pages[page])
    ThrowWireError("engine list refers to page " + std::to_string(page) + ", which is unknown", record_at);
  list.entries = pages[page];
  return list;
}

Request ReadRequest(Reader& in) {
  Request request;
  request.id = in.Int<std::uint64_t>("req");
  request.class_id = in.Int<std::uint16_t>("qos");
  request.tenant = in.Int<std::uint16_t>("project");
  request.ordering_key = in.Int<std::uint64_t>("key");
  request.client_timeout = in.Time("patienceLeftNs");
  request.estimated_work = in.Time("estCostNs");
  request.estimated_memory_mb = in.Float("ramMb");
  float tables = in.Float("tableGroup");
  request.table_group = tables > 0 && tables < kMaxTableGroup ? static_cast<std::uint32_t>(tables) : 0;
  auto attributes = in.Int<std::uint16_t>("attrs");
  if ((attributes & kAttributeHasWorkEstimate) == 0) request.estimated_work = 0;
  request.is_repeat = (attributes & kAttributeIsRepeat) != 0;
  return request;
}

StreamStarted ReadStreamStarted(Reader& in) {
  StreamStarted started;
  started.id = in.Int<std::uint64_t>("req");
  in.Int<std::uint32_t>("engine");
  started.attempt = in.Int<std::uint16_t>("roundNo");
  in.Time("waitTimeNs");
  return started;
}

AttemptEnded ReadAttemptEnded(Reader& in) {
  AttemptEnded ended;
  ended.id = in.Int<std::uint64_t>("req");
  ended.attempt = in.Int<std::uint16_t>("roundNo");
  ended.engine = in.Int<std::uint32_t>("engine");
  ended.outcome = ReadOutcome(in);
  ended.elapsed = in.Time("waitTimeNs");
  ended.request_finished = in.Int<std::uint8_t>("finished") != 0;
  auto statistics = in.Int<std::uint32_t>("stats");
  if (ended.outcome == Outcome::kOk) {
    ended.work = static_cast<Nanos>(statistics / kStatisticsWorkUnit) * kNanosPerMs;
    ended.memory_mb = (statistics % kStatisticsWorkUnit) * kStatisticsMemoryUnitMb;
  }
  ended.load_report = ReadLoadReport(in);
  return ended;
}

ProbeEnded ReadProbeEnded(Reader& in) {
  ProbeEnded ended;
  ended.elapsed = in.Time("waitTimeNs");
  ended.engine = in.Int<std::uint32_t>("engine");
  ended.outcome = ReadOutcome(in);
  ended.load_report = ReadLoadReport(in);
  return ended;
}

PeerMessage ReadPeerMessage(Reader& in) {
  PeerMessage message;
  message.sender = in.Int<std::uint16_t>("sender");
  auto length = in.Int<std::uint16_t>("message length");
  message.body = std::string(in.Bytes(length, "message"));
  return message;
}

ProgressNotice ReadProgressNotice(Reader& in, std::size_t record_at) {
  ProgressNotice notice;
  notice.id = in.Int<std::uint64_t>("req");
  notice.attempt = in.Int<std::uint16_t>("roundNo");
  in.Int<std::uint32_t>("engine");
  auto kind = in.Int<std::uint8_t>("what");
  if (kind < kFirstNotice || kind > kLastNotice)
    ThrowWireError("unknown kind of progress notice " + std::to_string(kind), record_at);
  notice.kind = static_cast<NoticeKind>(kind - kFirstNotice);
  notice.amount = in.Float("amount");
  return notice;
}

// ---- Batches ----

// Decodes the records of one batch.
class BatchDecoder {
 public:
  BatchDecoder(std::string_view body, Pages& pages) : in_(body), pages_(pages) {}

  std::vector<InstanceBatch> Decode(std::size_t records) {
    for (std::size_t record = 0; record < records; ++record) DecodeRecord();
    if (!in_.AtEnd()) ThrowWireError("bytes left over after the last record", in_.at());
    return std::move(batches_);
  }

 private:
  void DecodeRecord() {
    const std::size_t at = in_.at();
    const auto code = in_.Int<std::uint8_t>("record code");
    switch (static_cast<BatchRecordCode>(code)) {
      case BatchRecordCode::kInstance:
        return SelectInstance();
      case BatchRecordCode::kStart:
        return StartInstance(at);
      case BatchRecordCode::kStop:
        return StopInstance(at);
      case BatchRecordCode::kPage:
        return ReadPage(at);
      case BatchRecordCode::kEngineList:
        return AddEvent(ReadEngineList(in_, pages_, at), at);
      case BatchRecordCode::kRequest:
        Current(at).events.emplace_back(ReadRequest(in_));
        return;
      case BatchRecordCode::kStreamStarted:
        return AddEvent(ReadStreamStarted(in_), at);
      case BatchRecordCode::kAttemptEnded:
        Current(at).events.emplace_back(ReadAttemptEnded(in_));
        return;
      case BatchRecordCode::kRequestCancelled:
        Current(at).events.emplace_back(RequestCancelled{in_.Int<std::uint64_t>("req")});
        return;
      case BatchRecordCode::kTimerFired:
        Current(at).events.emplace_back(TimerFired{in_.Int<std::uint64_t>("keyBack")});
        return;
      case BatchRecordCode::kProbeEnded:
        return AddEvent(ReadProbeEnded(in_), at);
      case BatchRecordCode::kPeerMessage:
        return AddEvent(ReadPeerMessage(in_), at);
      case BatchRecordCode::kProgressNotice:
        return AddEvent(ReadProgressNotice(in_, at), at);
    }
    ThrowWireError("unknown record code " + std::to_string(code), at);
  }

  InstanceBatch& Current(std::size_t record_at) {
    if (!current_) ThrowWireError("record before the first TargetInstance", record_at);
    return batches_[*current_];
  }

  void AddEvent(Event event, std::size_t record_at) { Current(record_at).events.push_back(std::move(event)); }

  void SelectInstance() {
    const auto instance = in_.Int<std::uint16_t>("who");
    const auto [it, is_new] = newest_batches_.try_emplace(instance, batches_.size());
    if (is_new) batches_.emplace_back().instance = instance;
    current_ = it->second;
  }

  // An instance that already has a start or events in this batch is stopped first and continues in a separate
  // InstanceBatch.
  void StartInstance(std::size_t record_at) {
    const InstanceBatch& before = Current(record_at);
    if (before.started || !before.events.empty()) {
      const std::uint16_t instance = before.instance;
      current_ = newest_batches_[instance] = batches_.size();
      InstanceBatch& restarted = batches_.emplace_back();
      restarted.instance = instance;
      restarted.stopped = true;
    }
    InstanceBatch& batch = Current(record_at);
    batch.started = true;
    batch.seed = in_.Int<std::uint64_t>("salt");
    const auto length = in_.Int<std::uint32_t>("setup length");
    batch.settings = ParseSettings(in_.Bytes(length, "setup"));
  }

  // Stops the instance. Its start and events earlier in this batch have no effect.
  void StopInstance(std::size_t record_at) {
    InstanceBatch& batch = Current(record_at);
    batch.stopped = true;
    batch.started = false;
    batch.events.clear();
  }

  void ReadPage(std::size_t record_at) {
    const auto page = in_.Int<std::uint16_t>("page number");
    if (page >= pages_.size())
      ThrowWireError("page number " + std::to_string(page) + " out of range", record_at);
    pages_[page] = std::make_shared<const std::vector<EngineEntry>>(ReadPageEntries(in_));
  }

  Reader in_;
  Pages& pages_;
  std::vector<InstanceBatch> batches_;
  std::optional<std::size_t> current_;                   // index of the selected instance's newest batch
  std::map<std::uint16_t, std::size_t> newest_batches_;  // index of the newest batch, by instance
};

}  // namespace

Settings ParseSettings(std::string_view text) {
  try {
    return settings::ParseSite(settings::Pairs::FromLines(text)).module;
  } catch (const settings::SettingsError& e) {
    throw WireError(std::string("setup: ") + e.what());
  }
}

BatchHeader DecodeHeader(std::string_view header) {
  Reader in(header);
  BatchHeader out;
  out.length = in.Int<std::uint32_t>("batch length");
  out.records = in.Int<std::uint32_t>("record count");
  out.now = in.Time("clock");
  if (out.length > kMaxBatchBytes)
    ThrowWireError("batch length out of range " + std::to_string(out.length), 0);
  if (out.records > out.length) ThrowWireError("record count out of range " + std::to_string(out.records), 4);
  return out;
}

std::vector<InstanceBatch> Decoder::Decode(const BatchHeader& header, std::string_view body) {
  return BatchDecoder(body, pages_).Decode(header.records);
}

}  // namespace lemoncroft::simulator_adapter
