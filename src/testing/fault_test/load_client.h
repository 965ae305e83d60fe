// A client of one proxy: sends requests at a constant rate over one connection and counts the responses.
//
// Owned by ClientLoad, on its loop. While kMaxOpenRequests requests have no response, the client sends no
// further requests. It reconnects when its proxy drains or its connection closes.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LOAD_CLIENT_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LOAD_CLIENT_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "runtime/socket.h"

namespace lemoncroft::fault_test {

struct RequestCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0, rejected = 0,
                failed = 0;                // by the code of the response
  std::uint64_t duplicate_responses = 0;   // to requests that already had a response
  std::uint64_t lost_with_connection = 0;  // requests without a response when their connection closed
  std::uint64_t connect_failures = 0;
};

class LoadClient {
 public:
  static constexpr std::size_t kMaxOpenRequests = 32;

  // `number` makes the request ids of this client distinct from those of other clients.
  LoadClient(runtime::Loop& loop, const runtime::Address& proxy, std::uint32_t number, double per_second)
      : loop_(loop), proxy_(proxy), number_(number), per_second_(per_second) {}
  void Start() { loop_.Spawn(SendRequests()); }
  // Stops sending requests; responses are still received.
  void Stop() { stopped_ = true; }
  const RequestCounts& counts() const { return counts_; }
  std::size_t open_requests() const { return open_requests_.size(); }

 private:
  // Identifies a request: the number of its connection and its stream id.
  using RequestKey = std::pair<std::uint64_t, std::uint32_t>;

  runtime::Task<> SendRequests();
  runtime::Task<> ReceiveResponses(std::shared_ptr<runtime::Socket> socket, std::uint64_t connection);
  void CountResponse(const RequestKey& request, std::string_view payload);
  std::string RequestFrame(std::uint32_t stream);

  runtime::Loop& loop_;
  runtime::Address proxy_;
  std::uint32_t number_;
  double per_second_;
  bool stopped_ = false, connected_ = false, draining_ = false;
  std::uint64_t connection_ = 0, requests_ = 0;
  std::uint32_t next_stream_ = 1;
  std::set<RequestKey> open_requests_;
  RequestCounts counts_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LOAD_CLIENT_H_
