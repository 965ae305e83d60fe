#include "testing/fault_test/operator_client.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "peer_transport/link.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr auto kCallTimeout = 4000ms;
// Timeout for the called proxy, which is sent in the call.
constexpr int kProxyTimeoutMs = 1500;
// Longer than for other calls, since a link may be cut during the call.
constexpr int kVoterChangeTimeoutMs = 8000;
constexpr int kMaxVoterChangeAttempts = 5;
constexpr auto kVoterChangeRetryInterval = 200ms;
// An ejection is answered within a second, even without a majority. The slack allows for a
// busy machine.
constexpr auto kMaxEjectionLatency = 1s;
constexpr auto kSchedulingSlack = 250ms;
constexpr std::size_t kAdminReadBytes = 512;

// Words of the call protocol.
constexpr const char* kVerdictCommitted = "taken";
constexpr const char* kVerdictConflict = "conflict";
constexpr const char* kVerdictRejected = "refused";
constexpr const char* kVoterChangeCommitted = "\"taken\"";
// Responses of the admin interface.
constexpr std::string_view kAcknowledged = "ACK";
constexpr std::string_view kAcknowledgedVersion = "ACK for the fleet, version ";

Operation::Result ResultOf(const std::string& verdict) {
  if (verdict == kVerdictCommitted) return Operation::Result::kCommitted;
  if (verdict == kVerdictConflict) return Operation::Result::kConflict;
  if (verdict == kVerdictRejected) return Operation::Result::kRejected;
  return Operation::Result::kUnknown;
}

}  // namespace

Task<std::string> OperatorClient::Call(std::string proxy, std::string call) {
  const ProxyProcess* process = processes_.FindRunning(proxy);
  if (process == nullptr) co_return std::string();
  const runtime::Address to = environment_.GossipAddress(process->machine, process->address_index);
  auto response =
      co_await peer_transport::CallPeer(loop_, kFleetName, to, std::move(call), Now() + kCallTimeout);
  co_return response.value_or(std::string());
}

std::size_t OperatorClient::RecordInvocation(Operation operation, const char* id_prefix) {
  operation.id = id_prefix + std::to_string(++calls_);
  operation.invoked = Now();
  leases_.operations.push_back(std::move(operation));
  return leases_.operations.size() - 1;
}

Task<> OperatorClient::Propose(std::string proxy, std::string document, std::uint64_t base_version) {
  Operation operation;
  operation.base_version = base_version;
  const std::size_t index = RecordInvocation(std::move(operation), "op-");
  const nlohmann::json call = {{"call", "propose"},    {"id", leases_.operations[index].id},
                               {"from", base_version}, {"text", document},
                               {"by", "an operator"},  {"patience_ms", kProxyTimeoutMs}};
  const std::string bytes = co_await Call(proxy, call.dump());
  const nlohmann::json response = nlohmann::json::parse(bytes, nullptr, false);
  if (!response.is_object() || !response.contains("verdict")) co_return;
  Operation& recorded = leases_.operations[index];
  recorded.returned = Now();
  recorded.version = response.value("version", std::uint64_t{0});
  recorded.result = ResultOf(response.value("verdict", std::string()));
  if (recorded.result == Operation::Result::kCommitted || recorded.result == Operation::Result::kConflict)
    newest_version_ = std::max(newest_version_, recorded.version);
}

Task<> OperatorClient::Read(std::string proxy) {
  Operation operation;
  operation.kind = Operation::Kind::kRead;
  const std::size_t index = RecordInvocation(std::move(operation), "read-");
  const nlohmann::json call = {
      {"call", "read"}, {"id", leases_.operations[index].id}, {"patience_ms", kProxyTimeoutMs}};
  const std::string bytes = co_await Call(proxy, call.dump());
  const nlohmann::json response = nlohmann::json::parse(bytes, nullptr, false);
  if (!response.is_object() || !response.contains("newest")) co_return;
  Operation& recorded = leases_.operations[index];
  recorded.returned = Now();
  recorded.version = response.value("newest", std::uint64_t{0});
  recorded.result = Operation::Result::kCommitted;
  newest_version_ = std::max(newest_version_, recorded.version);
}

Task<> OperatorClient::ChangeEjection(std::string proxy, std::string engine, EjectionChange change) {
  const ProxyProcess* process = processes_.FindRunning(proxy);
  if (process == nullptr) co_return;
  const bool eject = change == EjectionChange::kEject;
  const std::string call = (eject ? "exclude " : "include ") + engine + "\n";
  std::unique_ptr<runtime::Socket> socket;
  const Time begun = Now(), deadline = begun + kCallTimeout;
  std::string answer;
  std::size_t written = 0;
  runtime::IoResult io =
      co_await Connect(loop_, *runtime::Address::Parse(process->admin_address), deadline, nullptr, socket);
  if (io == runtime::IoResult::kOk) io = co_await socket->Write(call, written, deadline);
  while (io == runtime::IoResult::kOk) io = co_await socket->Read(answer, kAdminReadBytes, deadline);
  if (!answer.starts_with(kAcknowledged))
    findings_.violations.push_back(proxy + " responded '" + answer + "' to " + call);
  if (Now() - begun > kMaxEjectionLatency + kSchedulingSlack)
    findings_.violations.push_back(proxy + " took more than a second to respond to " + call);
  if (!answer.starts_with(kAcknowledged)) co_return;
  std::uint64_t version = 0;
  if (answer.starts_with(kAcknowledgedVersion))
    version = std::strtoull(answer.c_str() + kAcknowledgedVersion.size(), nullptr, 10);
  leases_.manual_ejections.push_back({engine, eject, version, proxy, begun, Now()});
}

Task<> OperatorClient::ChangeVoter(std::string proxy, std::string direction, std::string voter) {
  const nlohmann::json call = {
      {"call", "voters"}, {"way", direction}, {"who", voter}, {"patience_ms", kVoterChangeTimeoutMs}};
  const auto committed = [](const std::string& answer) {
    return answer.find(kVoterChangeCommitted) != std::string::npos;
  };
  std::string answer;
  for (int attempt = 0; attempt < kMaxVoterChangeAttempts && !committed(answer); ++attempt) {
    answer = co_await Call(proxy, call.dump());
    co_await loop_.Sleep(kVoterChangeRetryInterval);
  }
  if (!committed(answer))
    findings_.violations.push_back("voter change " + direction + " " + voter + " failed at " + proxy + ": " +
                                   answer);
}

}  // namespace lemoncroft::fault_test
