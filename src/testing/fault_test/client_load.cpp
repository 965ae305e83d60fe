#include "testing/fault_test/client_load.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "codec/frame.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr int kQueriesPerBatch = 200;
constexpr auto kBatchInterval = 10ms;
constexpr auto kConnectTimeout = 500ms, kWriteTimeout = 500ms, kReconnectInterval = 100ms;
constexpr std::size_t kReadBytes = 16384;
constexpr std::uint32_t kQueryStream = 1;
constexpr std::string_view kQueryPayload("\0", 1);  // no fields

std::string ReadinessQueries() {
  std::string frames;
  for (int i = 0; i < kQueriesPerBatch; ++i)
    codec::WriteFrame(frames, codec::kReadinessRequestFrame, kQueryStream, kQueryPayload);
  return frames;
}

}  // namespace

void ClientLoad::Start(std::size_t machines, double requests_per_second) {
  for (std::size_t machine = 1; machine <= machines; ++machine) {
    const auto to = *runtime::Address::Parse(environment_.ClientAddress(machine));
    clients_.push_back(
        std::make_unique<LoadClient>(loop_, to, static_cast<std::uint32_t>(machine), requests_per_second));
    clients_.back()->Start();
  }
}

void ClientLoad::Stop() {
  for (const auto& client : clients_) client->Stop();
}

Task<> ClientLoad::FloodReadinessQueries(std::size_t machine) {
  const auto to = *runtime::Address::Parse(environment_.ClientAddress(machine));
  const std::string queries = ReadinessQueries();
  for (;; co_await loop_.Sleep(kReconnectInterval)) {
    std::unique_ptr<runtime::Socket> socket;
    if (co_await Connect(loop_, to, Now() + kConnectTimeout, nullptr, socket) != runtime::IoResult::kOk)
      continue;
    std::string responses;
    for (std::size_t written = 0;;) {
      if (co_await socket->Write(queries, written, Now() + kWriteTimeout) != runtime::IoResult::kOk) break;
      const Time next = Now() + kBatchInterval;
      while (co_await socket->Read(responses, kReadBytes, next) == runtime::IoResult::kOk) responses.clear();
      if (Now() < next) break;  // the connection is closed
    }
  }
}

RequestCounts ClientLoad::CountsOf(const std::vector<std::size_t>& machines) const {
  RequestCounts sum;
  for (const std::size_t machine : machines) {
    if (machine > clients_.size()) continue;
    sum.sent += clients_[machine - 1]->counts().sent;
    sum.served += clients_[machine - 1]->counts().served;
  }
  return sum;
}

void ClientLoad::CheckResponses(const ProxyProcesses& processes, Findings& findings) const {
  for (std::size_t machine = 1; machine <= clients_.size(); ++machine) {
    const LoadClient& client = *clients_[machine - 1];
    const RequestCounts& counts = client.counts();
    const std::string at = "at n" + std::to_string(machine) + ": ";
    bool killed = false, running = false;
    for (const auto& process : processes.all()) {
      if (process->machine != machine) continue;
      killed = killed || processes.RecordOf(*process).killed;
      running = running || !processes.HasEnded(*process);
    }
    if (counts.duplicate_responses > 0)
      findings.violations.push_back(at + "some requests received more than one response");
    // While no process of the machine runs, connections wait in the listening socket that the fault tester
    // owns.
    if (client.open_requests() > 0 && running)
      findings.violations.push_back(at + std::to_string(client.open_requests()) +
                                    " requests received no response");
    if (counts.lost_with_connection > 0 && !killed)
      findings.violations.push_back(at + std::to_string(counts.lost_with_connection) +
                                    " requests had no response when their connection closed");
    if (counts.served == 0 && !killed) findings.violations.push_back(at + "no request was served");
  }
}

}  // namespace lemoncroft::fault_test
