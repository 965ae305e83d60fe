// Watches the control feed with a long poll that is always open and resumes after the last event applied.
//
// Runs as a single coroutine (Run) on the event loop's thread. Updates are passed to the callback in the
// order of the feed. A lost or silent connection is replaced after a backoff with jitter. A document that
// cannot be used is requested again on a new connection; only a JSON error is logged.
#ifndef LEMONCROFT_DISCOVERY_ENDPOINT_WATCH_H_
#define LEMONCROFT_DISCOVERY_ENDPOINT_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "discovery/endpoint_directory.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::discovery {

class EndpointWatch {
 public:
  // `host_port` may be empty; then no feed is watched until ChangeAddress is called. `seed` determines the
  // backoff's jitter and differs between proxies. The references must outlive this object.
  EndpointWatch(runtime::Loop& loop, EndpointDirectory& directory, std::string host_port,
                EndpointDirectory::UpdateCallback on_update, std::uint64_t seed)
      : loop_(loop),
        directory_(directory),
        host_port_(std::move(host_port)),
        on_update_(std::move(on_update)),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // Watches the feed until the loop ends.
  runtime::Task<> Run();

  // Returns true if there is an address to watch.
  bool enabled() const { return !host_port_.empty(); }
  // Returns true if the feed has sent a readable response.
  bool has_response() const { return has_response_; }

  // Continues at another address, whose events must continue the revisions. The connection to the old address
  // is closed immediately.
  void ChangeAddress(std::string host_port);

 private:
  runtime::Duration WithJitter(runtime::Duration backoff);
  // Watches on one connection until it fails or `address_changed` is cancelled.
  runtime::Task<> WatchOnce(runtime::Cancellation& address_changed);

  runtime::Loop& loop_;
  EndpointDirectory& directory_;
  std::string host_port_;
  EndpointDirectory::UpdateCallback on_update_;
  bool has_response_ = false;
  bool has_response_on_connection_ = false;
  runtime::Duration backoff_{};
  std::minstd_rand random_;
  std::unique_ptr<runtime::Cancellation> address_changed_ = std::make_unique<runtime::Cancellation>();
};

}  // namespace lemoncroft::discovery

#endif  // LEMONCROFT_DISCOVERY_ENDPOINT_WATCH_H_
