// Follows the control feed: a long poll that is always open, resumed by the number of the last event.
#ifndef LEMONCROFT_MEMBERSHIP_FEED_H_
#define LEMONCROFT_MEMBERSHIP_FEED_H_

#include <functional>
#include <memory>
#include <string>

#include "lemoncroft/gateway.h"
#include "membership/directory.h"
#include "runtime/loop.h"

namespace lemoncroft::membership {

class Feed {
 public:
  Feed(runtime::Loop& loop, Directory& directory, std::string host_port, std::function<void(EngineList)> tell)
      : loop_(loop), directory_(directory), host_port_(std::move(host_port)), tell_(std::move(tell)) {}

  runtime::Task<> Run();
  bool followed() const { return !host_port_.empty(); }
  bool heard() const { return heard_; }  // it has answered since the start
  // From now on at another address, where the numbers go on; the old one may stay open and tell nothing.
  void MoveTo(std::string host_port);

 private:
  runtime::Task<> Follow(runtime::Cancellation& moved);  // on one connection, until it fails

  runtime::Loop& loop_;
  Directory& directory_;
  std::string host_port_;  // empty: none is followed
  std::function<void(EngineList)> tell_;
  bool heard_ = false;
  std::unique_ptr<runtime::Cancellation> moved_ = std::make_unique<runtime::Cancellation>();
};

}  // namespace lemoncroft::membership

#endif  // LEMONCROFT_MEMBERSHIP_FEED_H_
