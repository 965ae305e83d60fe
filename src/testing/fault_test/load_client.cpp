#include "testing/fault_test/load_client.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <string_view>

#include "codec/frame.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::IoResult;
using runtime::Now;
using runtime::Task;

namespace {

constexpr auto kConnectTimeout = 500ms, kWriteTimeout = 1000ms, kReconnectInterval = 50ms;
constexpr std::size_t kReadBytes = 16384;

// Fields of a request in the client protocol, and the values that all requests of a trial have.
constexpr const char* kFieldClass = "verb";
constexpr const char* kFieldRequestId = "txn";
constexpr const char* kFieldTimeoutMs = "limit";
constexpr const char* kFieldTenant = "team";
constexpr const char* kFieldEstimatedCpu = "cpu";
constexpr const char* kFieldEstimatedMemoryMb = "heap_mb";
constexpr const char* kClass = "lookup";
constexpr const char* kTimeoutMs = "2000";
constexpr const char* kTenant = "acme";
constexpr const char* kEstimatedCpu = "5.0";
constexpr const char* kEstimatedMemoryMb = "1";
constexpr const char* kStatement = "select 1";
constexpr std::uint8_t kNoCode = 255;  // of a response without a payload

void AppendField(std::string& payload, std::string_view name, std::string_view value) {
  payload += static_cast<char>(name.size());
  payload += name;
  payload += static_cast<char>(value.size());
  payload += '\0';  // the size of a value has two bytes
  payload += value;
}

}  // namespace

std::string LoadClient::RequestFrame(std::uint32_t stream) {
  char id[17];
  std::snprintf(id, sizeof id, "%08x%08llx", number_, static_cast<unsigned long long>(++requests_));
  const std::pair<const char*, const char*> fields[] = {{kFieldClass, kClass},
                                                        {kFieldRequestId, id},
                                                        {kFieldTimeoutMs, kTimeoutMs},
                                                        {kFieldTenant, kTenant},
                                                        {kFieldEstimatedCpu, kEstimatedCpu},
                                                        {kFieldEstimatedMemoryMb, kEstimatedMemoryMb}};
  std::string payload(1, static_cast<char>(std::size(fields)));
  for (const auto& [name, value] : fields) AppendField(payload, name, value);
  std::string frame;
  codec::WriteFrame(frame, codec::kRequestFrame, stream, payload + kStatement);
  return frame;
}

Task<> LoadClient::SendRequests() {
  const auto interval =
      std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(1 / per_second_));
  std::shared_ptr<runtime::Socket> socket;
  for (runtime::Time next = Now(); !stopped_; next = std::max(next + interval, Now())) {
    co_await loop_.SleepUntil(next);
    if (!connected_ || draining_) {
      std::unique_ptr<runtime::Socket> connected;
      const IoResult io = co_await Connect(loop_, proxy_, Now() + kConnectTimeout, nullptr, connected);
      if (io != IoResult::kOk) {
        ++counts_.connect_failures;
        co_await loop_.Sleep(kReconnectInterval);
        continue;
      }
      // Responses to earlier requests still arrive on the former connection.
      socket = std::move(connected);
      connected_ = true;
      draining_ = false;
      loop_.Spawn(ReceiveResponses(socket, ++connection_));
    }
    if (open_requests_.size() >= kMaxOpenRequests) continue;
    const std::uint32_t stream = next_stream_++;
    open_requests_.emplace(connection_, stream);
    ++counts_.sent;
    std::size_t written = 0;
    co_await socket->Write(RequestFrame(stream), written, Now() + kWriteTimeout);
  }
}

Task<> LoadClient::ReceiveResponses(std::shared_ptr<runtime::Socket> socket, std::uint64_t connection) {
  codec::FrameReader reader;
  std::string buffer;
  for (;;) {
    codec::Frame frame;
    while (reader.Next(buffer, frame) == codec::FrameReader::Result::kFrame) {
      if (frame.type == codec::kDrainFrame && connection == connection_) draining_ = true;
      if (frame.type == codec::kResponseFrame) CountResponse({connection, frame.stream}, frame.payload);
    }
    reader.Compact(buffer);
    if (co_await socket->Read(buffer, kReadBytes, runtime::kNever) != IoResult::kOk) break;
  }
  if (connection == connection_) connected_ = false;
  counts_.lost_with_connection +=
      std::erase_if(open_requests_, [&](const RequestKey& request) { return request.first == connection; });
}

void LoadClient::CountResponse(const RequestKey& request, std::string_view payload) {
  if (open_requests_.erase(request) == 0) {
    ++counts_.duplicate_responses;
    return;
  }
  const std::uint8_t code = payload.empty() ? kNoCode : static_cast<std::uint8_t>(payload[0]);
  if (code == codec::kServedCode)
    ++counts_.served;
  else if (code == codec::kRejectedCode)
    ++counts_.rejected;
  else
    ++counts_.failed;
}

}  // namespace lemoncroft::fault_test
