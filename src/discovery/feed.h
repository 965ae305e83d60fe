// Follows the control feed: a long poll that is always open, resumed by the number of the last event.
#ifndef LEMONCROFT_MEMBERSHIP_FEED_H_
#define LEMONCROFT_MEMBERSHIP_FEED_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "discovery/directory.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::discovery {

class Feed {
 public:
  // `seed`: for the jitter of its pauses, another at each proxy.
  Feed(runtime::Loop& loop, Directory& directory, std::string host_port, std::function<void(EngineList)> tell,
       std::uint64_t seed)
      : loop_(loop),
        directory_(directory),
        host_port_(std::move(host_port)),
        tell_(std::move(tell)),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  runtime::Task<> Run();
  bool followed() const { return !host_port_.empty(); }
  bool heard() const { return heard_; }  // it has answered since the start
  // From now on at another address, where the numbers go on; the old one may stay open and tell nothing.
  void MoveTo(std::string host_port);

 private:
  runtime::Span Jittered(runtime::Span pause);
  runtime::Task<> Follow(runtime::Cancellation& moved);  // on one connection, until it fails

  runtime::Loop& loop_;
  Directory& directory_;
  std::string host_port_;  // empty: none is followed
  std::function<void(EngineList)> tell_;
  bool heard_ = false, heard_now_ = false;  // since the start, since the last connection
  runtime::Span pause_{};
  std::minstd_rand random_;
  std::unique_ptr<runtime::Cancellation> moved_ = std::make_unique<runtime::Cancellation>();
};

}  // namespace lemoncroft::discovery

#endif  // LEMONCROFT_MEMBERSHIP_FEED_H_
