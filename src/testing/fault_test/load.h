// Engines and clients under a trial: engines that answer each statement once after its time, clients that ask
// at a steady rate and count what each request was answered.
//
// Contract. Owned by the trial runner, on its loop; bounded: a client holds at most kMaxOpenRequests requests
// open and lets a beat go by then. Source of the forms: docs/scenarios.md, which plays the same parties step
// by step.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LOAD_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LOAD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runtime/socket.h"

namespace lemoncroft::fault_test {

// An HTTP server that runs what it is sent: 200 with one row after `work`, and counts it.
class EmulatedEngine {
 public:
  EmulatedEngine(runtime::Loop& loop, const runtime::Address& at, runtime::Span work);
  void Start() { loop_.Spawn(Accept()); }
  std::uint64_t executed() const { return executed_; }
  std::uint64_t executed_twice() const { return executed_twice_; }  // under one id

 private:
  runtime::Task<> Accept();
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket);

  runtime::Loop& loop_;
  runtime::Listener listener_;
  runtime::Span work_;
  std::map<std::string, int> ids_;
  std::uint64_t executed_ = 0, executed_twice_ = 0;
};

// The control feed: one list, to which changes are told as events. A call waits for what is new.
class EmulatedControlFeed {
 public:
  EmulatedControlFeed(runtime::Loop& loop, const runtime::Address& at) : loop_(loop), listener_(loop, at) {}
  void Start() { loop_.Spawn(Accept()); }
  // A change of some engines: members as the feed's JSON has them.
  void Publish(const std::string& members);
  std::string KnownEvents() const;  // all so far, in the form of the configuration

 private:
  runtime::Task<> Accept();
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket);
  std::string EventsAfter(std::size_t number) const;

  runtime::Loop& loop_;
  runtime::Listener listener_;
  std::vector<std::string> events_;
};

struct RequestCounts {
  std::uint64_t sent = 0, served = 0, rejected = 0, failed = 0, duplicate_responses = 0, connect_failures = 0;
  std::uint64_t lost_with_connection = 0;  // open when their connection ended
};

// A client of one proxy.
class LoadClient {
 public:
  static constexpr std::size_t kMaxOpenRequests = 32;

  LoadClient(runtime::Loop& loop, const runtime::Address& to, std::uint32_t number, double per_second)
      : loop_(loop), to_(to), number_(number), per_second_(per_second) {}
  void Start() { loop_.Spawn(SendRequests()); }
  void Stop() { stopped_ = true; }
  const RequestCounts& counts() const { return counts_; }
  std::size_t open_requests() const { return open_requests_.size(); }

 private:
  runtime::Task<> SendRequests();
  runtime::Task<> ReceiveResponses(std::shared_ptr<runtime::Socket> socket, std::uint64_t connection);
  std::string Request(std::uint32_t stream);

  runtime::Loop& loop_;
  runtime::Address to_;
  std::uint32_t number_;
  double per_second_;
  bool stopped_ = false, draining_ = false;
  std::uint64_t connection_ = 0, requests_ = 0;
  bool connected_ = false;
  std::set<std::pair<std::uint64_t, std::uint32_t>> open_requests_;  // connection, stream
  std::uint32_t next_stream_ = 1;
  RequestCounts counts_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LOAD_H_
