#include <bit>

#include "record_codes.h"
#include "wire.h"

namespace lemoncroft::simulator_adapter {
namespace {

constexpr std::size_t kMaxTextBytes = 65535;

template <typename T>
void Put(std::string& out, T value) {
  auto bits = static_cast<std::uint64_t>(value);
  for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((bits >> shift) & 0xff));
  }
}

void PutText(std::string& out, std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  Put(out, static_cast<std::uint16_t>(text.size()));
  out.append(text);
}

// Appends the record of an action.
struct ActionWriter {
  std::string& out;
  void PutCode(ReplyRecordCode code) const { Put(out, static_cast<std::uint8_t>(code)); }
  void operator()(const ResourceGrant& a) const {
    PutCode(ReplyRecordCode::kResourceGrant);
    Put(out, a.id);
    Put(out, static_cast<std::uint8_t>(a.priority));
    Put(out, std::bit_cast<std::uint32_t>(static_cast<float>(a.grant_mb)));
  }
  void operator()(const Send& a) const {
    PutCode(ReplyRecordCode::kSend);
    Put(out, a.id);
    Put(out, a.engine);
    Put(out, a.timeout);
  }
  void operator()(const Cancel& a) const {
    PutCode(ReplyRecordCode::kCancel);
    Put(out, a.id);
    Put(out, static_cast<std::uint16_t>(a.attempt));
  }
  void operator()(const RejectRequest& a) const {
    PutCode(ReplyRecordCode::kReject);
    Put(out, a.id);
    Put(out, a.retry_after);
  }
  void operator()(const FailRequest& a) const {
    PutCode(ReplyRecordCode::kFail);
    Put(out, a.id);
  }
  void operator()(const WakeAt& a) const {
    PutCode(ReplyRecordCode::kWakeAt);
    Put(out, a.at);
    Put(out, a.token);
  }
  void operator()(const Probe& a) const {
    PutCode(ReplyRecordCode::kProbe);
    Put(out, a.engine);
  }
  void operator()(const WatchEngineList& a) const {
    PutCode(ReplyRecordCode::kWatchList);
    Put(out, static_cast<std::uint8_t>(a.on));
  }
  void operator()(const LogLine& a) const {
    PutCode(ReplyRecordCode::kLogLine);
    PutText(out, a.text);
  }
};

}  // namespace

void ReplyWriter::Clear() {
  bytes_.assign(kReplyHeaderBytes, '\0');
  records_ = 0;
}

void ReplyWriter::Add(std::uint16_t instance, const std::vector<Action>& actions) {
  if (actions.empty()) return;
  Put(bytes_, static_cast<std::uint8_t>(ReplyRecordCode::kInstance));
  Put(bytes_, instance);
  records_ += static_cast<std::uint32_t>(actions.size()) + 1;
  for (const Action& action : actions) std::visit(ActionWriter{bytes_}, action);
}

const std::string& ReplyWriter::Finish() {
  std::string header;
  Put(header, records_);
  Put(header, static_cast<std::uint32_t>(bytes_.size() - kReplyHeaderBytes));
  bytes_.replace(0, kReplyHeaderBytes, header);
  return bytes_;
}

}  // namespace lemoncroft::simulator_adapter
