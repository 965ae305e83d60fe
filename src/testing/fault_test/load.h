// Engines and clients under a trial: engines that answer each statement once after its time, clients that ask
// at a steady rate and count what each request was answered.
//
// Contract. Owned by the rig, on its loop; bounded: a client holds at most kOpenMost requests open and lets a
// beat go by then. Source of the forms: docs/scenarios.md, which plays the same parties step by step.
#ifndef LEMONCROFT_TRIAL_LOAD_H_
#define LEMONCROFT_TRIAL_LOAD_H_

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
class StandInEngine {
 public:
  StandInEngine(runtime::Loop& loop, const runtime::Address& at, runtime::Span work);
  void Start() { loop_.Spawn(Accept()); }
  std::uint64_t ran() const { return ran_; }
  std::uint64_t ran_twice() const { return twice_; }  // under one id

 private:
  runtime::Task<> Accept();
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket);

  runtime::Loop& loop_;
  runtime::Listener listener_;
  runtime::Span work_;
  std::map<std::string, int> ids_;
  std::uint64_t ran_ = 0, twice_ = 0;
};

// The control feed: one list, to which changes are told as events. A call waits for what is new.
class StandInFeed {
 public:
  StandInFeed(runtime::Loop& loop, const runtime::Address& at) : loop_(loop), listener_(loop, at) {}
  void Start() { loop_.Spawn(Accept()); }
  // A change of some engines: members as the feed's JSON has them.
  void Tell(const std::string& members);
  std::string Known() const;  // all so far, in the form of the configuration

 private:
  runtime::Task<> Accept();
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket);
  std::string After(std::size_t number) const;

  runtime::Loop& loop_;
  runtime::Listener listener_;
  std::vector<std::string> events_;
};

struct Tally {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, twice = 0, unconnected = 0;
  std::uint64_t broken = 0;  // open when their connection ended
};

// A client of one proxy.
class StandInClient {
 public:
  static constexpr std::size_t kOpenMost = 32;

  StandInClient(runtime::Loop& loop, const runtime::Address& to, std::uint32_t number, double per_second)
      : loop_(loop), to_(to), number_(number), per_second_(per_second) {}
  void Start() { loop_.Spawn(Ask()); }
  void Stop() { stopped_ = true; }
  const Tally& tally() const { return tally_; }
  std::size_t open() const { return open_.size(); }

 private:
  runtime::Task<> Ask();
  runtime::Task<> Hear(std::shared_ptr<runtime::Socket> socket, std::uint64_t connection);
  std::string Request(std::uint32_t stream);

  runtime::Loop& loop_;
  runtime::Address to_;
  std::uint32_t number_;
  double per_second_;
  bool stopped_ = false, draining_ = false;
  std::uint64_t connection_ = 0, requests_ = 0;
  bool connected_ = false;
  std::set<std::pair<std::uint64_t, std::uint32_t>> open_;  // connection, stream
  std::uint32_t next_stream_ = 1;
  Tally tally_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TRIAL_LOAD_H_
