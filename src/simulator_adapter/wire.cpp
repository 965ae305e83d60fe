#include "wire.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <utility>

#include "settings/settings.h"

namespace lemoncroft::simulator_adapter {
namespace {

[[noreturn]] void Bad(const std::string& what, std::size_t at) {
  throw WireError(what + " at byte " + std::to_string(at));
}

// Reads big-endian fields off a frame; every read is bounds-checked.
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
    if (!std::isfinite(value)) Bad(std::string("not a number: ") + what, at_ - 4);
    return value;
  }
  Nanos Time(const char* what) {
    auto value = Int<std::uint64_t>(what);
    constexpr auto kMost = static_cast<std::uint64_t>(std::numeric_limits<Nanos>::max() / 4);
    if (value > kMost) Bad(std::string("impossible time: ") + what, at_ - 8);
    return static_cast<Nanos>(value);
  }
  std::string_view Bytes(std::size_t n, const char* what) {
    if (n > bytes_.size() - at_) Bad(std::string("truncated frame: ") + what, at_);
    std::string_view out = bytes_.substr(at_, n);
    at_ += n;
    return out;
  }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
};

constexpr std::size_t kEntryBytes = 23;

Outcome ToOutcome(std::uint16_t code, std::size_t at) {
  if (code < 1 || code > 8) Bad("unknown outcome " + std::to_string(code), at);
  return static_cast<Outcome>(code - 1);
}

LoadReport ReadReport(Reader& in) {
  LoadReport report;
  auto n = in.Int<std::uint8_t>("load report's count");
  for (int i = 0; i < n; ++i) {
    float value = in.Float("load report's value");
    if (i < 4) report.values[static_cast<std::size_t>(i)] = value;
  }
  report.count = std::min<std::uint8_t>(n, 4);
  return report;
}

std::vector<EngineEntry> ReadEntries(Reader& in) {
  auto n = in.Int<std::uint32_t>("page's count");
  Reader entries(in.Bytes(std::size_t{n} * kEntryBytes, "page's entries"));
  std::vector<EngineEntry> out(n);
  for (EngineEntry& e : out) {
    e.weight = entries.Float("weight");
    switch (auto r = entries.Int<std::uint8_t>("readiness")) {
      case 1:
        e.readiness = Readiness::kReady;
        break;
      case 2:
        e.readiness = Readiness::kGone;
        break;
      case 3:
        e.readiness = Readiness::kDraining;
        break;
      default:
        Bad("unknown readiness " + std::to_string(r), entries.at() - 1);
    }
    e.kind = entries.Int<std::uint16_t>("model");
    e.cell = entries.Int<std::uint16_t>("cohort");
    e.started_at = entries.Time("startedAtNs");
    e.engine = entries.Int<std::uint32_t>("engine");
    e.zone = entries.Int<std::uint16_t>("dc");
  }
  return out;
}

Request ReadRequest(Reader& in) {
  Request r;
  r.id = in.Int<std::uint64_t>("req");
  r.class_id = in.Int<std::uint16_t>("qos");
  r.tenant = in.Int<std::uint16_t>("project");
  r.key = in.Int<std::uint64_t>("key");
  r.client_timeout = in.Time("patienceLeftNs");
  r.est_work = in.Time("estCostNs");
  r.est_memory_mb = in.Float("ramMb");
  float tables = in.Float("tableGroup");
  r.tables = tables > 0 && tables < 4e9f ? static_cast<std::uint32_t>(tables) : 0;
  auto attrs = in.Int<std::uint16_t>("attrs");
  if ((attrs & 1) == 0) r.est_work = 0;
  r.repeat = (attrs & 2) != 0;
  return r;
}

AttemptEnded ReadEnded(Reader& in) {
  AttemptEnded e;
  e.id = in.Int<std::uint64_t>("req");
  e.attempt = in.Int<std::uint16_t>("roundNo");
  e.engine = in.Int<std::uint32_t>("engine");
  e.outcome = ToOutcome(in.Int<std::uint16_t>("status"), in.at());
  e.waited = in.Time("waitTimeNs");
  e.finished = in.Int<std::uint8_t>("finished") != 0;
  auto stats = in.Int<std::uint32_t>("stats");
  if (e.outcome == Outcome::kOk) {
    e.work = static_cast<Nanos>(stats / 4096) * 1'000'000;
    e.memory_mb = (stats % 4096) * 4.0;
  }
  e.load = ReadReport(in);
  return e;
}

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
  if (out.length > kMaxFrameBytes) Bad("impossible batch length " + std::to_string(out.length), 0);
  if (out.records > out.length) Bad("impossible record count " + std::to_string(out.records), 4);
  return out;
}

// One branch for each kind of record of a batch; not split yet.
// NOLINTNEXTLINE(readability-function-size)
std::vector<InstanceBatch> Decoder::Decode(const BatchHeader& header, std::string_view body) {
  Reader in(body);
  std::vector<InstanceBatch> out;
  // The newest entry of each instance in `out`.
  InstanceBatch* now = nullptr;
  std::map<std::uint16_t, std::size_t> newest;
  auto current = [&](std::size_t at) -> InstanceBatch& {
    if (now == nullptr) Bad("event before any TargetInstance", at);
    return *now;
  };
  for (std::size_t record = 0; record < header.records; ++record) {
    const std::size_t at = in.at();
    switch (auto code = in.Int<std::uint8_t>("record code")) {
      case 13: {
        auto who = in.Int<std::uint16_t>("who");
        auto [it, fresh] = newest.try_emplace(who, out.size());
        if (fresh) out.emplace_back().instance = who;
        now = &out[it->second];
        break;
      }
      case 1: {
        InstanceBatch* b = &current(at);
        if (b->started || !b->events.empty()) {
          newest[b->instance] = out.size();
          std::uint16_t who = b->instance;
          b = &out.emplace_back();
          b->instance = who;
          b->stopped = true;
          now = b;
        }
        b->started = true;
        b->seed = in.Int<std::uint64_t>("salt");
        auto n = in.Int<std::uint32_t>("setup length");
        b->settings = ParseSettings(in.Bytes(n, "setup"));
        break;
      }
      case 10: {
        InstanceBatch& b = current(at);
        b.stopped = true;  // what came before the end in this batch no longer matters to anyone
        b.started = false;
        b.events.clear();
        break;
      }
      case 12: {
        auto page = in.Int<std::uint16_t>("page number");
        if (page >= pages_.size()) Bad("page number " + std::to_string(page) + " out of range", at);
        pages_[page] = std::make_shared<const std::vector<EngineEntry>>(ReadEntries(in));
        break;
      }
      case 2: {
        auto how = in.Int<std::uint8_t>("how");
        auto page = in.Int<std::uint16_t>("page number");
        in.Int<std::uint32_t>("serial");
        if (how > 3) Bad("unknown list kind " + std::to_string(how), at);
        EngineList list{static_cast<ListKind>(how), nullptr};
        if (how != 3) {
          if (page >= pages_.size() || !pages_[page]) {
            Bad("list names page " + std::to_string(page) + ", which is not known", at);
          }
          list.entries = pages_[page];
        }
        current(at).events.emplace_back(std::move(list));
        break;
      }
      case 3:
        current(at).events.emplace_back(ReadRequest(in));
        break;
      case 4: {
        StreamStarted e;
        e.id = in.Int<std::uint64_t>("req");
        in.Int<std::uint32_t>("engine");
        e.attempt = in.Int<std::uint16_t>("roundNo");
        in.Time("waitTimeNs");
        current(at).events.emplace_back(e);
        break;
      }
      case 5:
        current(at).events.emplace_back(ReadEnded(in));
        break;
      case 6:
        current(at).events.emplace_back(ClientGone{in.Int<std::uint64_t>("req")});
        break;
      case 7:
        current(at).events.emplace_back(TimerFired{in.Int<std::uint64_t>("keyBack")});
        break;
      case 8: {
        Probed e;
        e.waited = in.Time("waitTimeNs");
        e.engine = in.Int<std::uint32_t>("engine");
        e.outcome = ToOutcome(in.Int<std::uint16_t>("status"), in.at());
        e.load = ReadReport(in);
        current(at).events.emplace_back(e);
        break;
      }
      case 9: {
        PeerMessage e;
        e.sender = in.Int<std::uint16_t>("sender");
        auto n = in.Int<std::uint16_t>("message length");
        e.body = std::string(in.Bytes(n, "message"));
        current(at).events.emplace_back(std::move(e));
        break;
      }
      case 11: {
        ProgressNotice e;
        e.id = in.Int<std::uint64_t>("req");
        e.attempt = in.Int<std::uint16_t>("roundNo");
        in.Int<std::uint32_t>("engine");
        auto what = in.Int<std::uint8_t>("what");
        if (what < 1 || what > 3) Bad("unknown note " + std::to_string(what), at);
        e.kind = static_cast<NoticeKind>(what - 1);
        e.amount = in.Float("amount");
        current(at).events.emplace_back(e);
        break;
      }
      default:
        Bad("unknown record code " + std::to_string(code), at);
    }
  }
  if (!in.AtEnd()) Bad("bytes left over after the last record", in.at());
  return out;
}

namespace {

template <typename T>
void Put(std::string& out, T value) {
  auto bits = static_cast<std::uint64_t>(value);
  for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((bits >> shift) & 0xff));
  }
}

void PutText(std::string& out, std::string_view text) {
  text = text.substr(0, 65535);
  Put(out, static_cast<std::uint16_t>(text.size()));
  out.append(text);
}

// Writes one action's record; which actions there are is the interface's business.
struct ActionWriter {
  std::string& out;
  void Code(std::uint8_t code) const { Put(out, code); }
  void operator()(const ResourceGrant& a) const {
    Code(13);
    Put(out, a.id);
    Put(out, static_cast<std::uint8_t>(a.priority));
    Put(out, std::bit_cast<std::uint32_t>(static_cast<float>(a.grant_mb)));
  }
  void operator()(const Send& a) const {
    Code(1);
    Put(out, a.id);
    Put(out, a.engine);
    Put(out, a.timeout);
  }
  void operator()(const Cancel& a) const {
    Code(4);
    Put(out, a.id);
    Put(out, static_cast<std::uint16_t>(a.attempt));
  }
  void operator()(const RejectRequest& a) const {
    Code(2);
    Put(out, a.id);
    Put(out, a.retry_after);
  }
  void operator()(const Fail& a) const {
    Code(3);
    Put(out, a.id);
  }
  void operator()(const WakeAt& a) const {
    Code(5);
    Put(out, a.at);
    Put(out, a.token);
  }
  void operator()(const Probe& a) const {
    Code(6);
    Put(out, a.engine);
  }
  void operator()(const WatchList& a) const {
    Code(11);
    Put(out, static_cast<std::uint8_t>(a.on));
  }
  void operator()(const LogLine& a) const {
    Code(9);
    PutText(out, a.text);
  }
};

}  // namespace

void ReplyWriter::Clear() {
  bytes_.assign(8, '\0');
  records_ = 0;
}

void ReplyWriter::Add(std::uint16_t instance, const std::vector<Action>& actions) {
  if (actions.empty()) return;
  Put(bytes_, std::uint8_t{14});
  Put(bytes_, instance);
  records_ += static_cast<std::uint32_t>(actions.size()) + 1;
  for (const Action& action : actions) std::visit(ActionWriter{bytes_}, action);
}

const std::string& ReplyWriter::Finish() {
  std::string header;
  Put(header, records_);
  Put(header, static_cast<std::uint32_t>(bytes_.size() - 8));
  bytes_.replace(0, 8, header);
  return bytes_;
}

}  // namespace lemoncroft::simulator_adapter
