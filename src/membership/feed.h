// Follows the control feed: a long poll that is always open, resumed by the number of the last event.
#ifndef LEMONCROFT_MEMBERSHIP_FEED_H_
#define LEMONCROFT_MEMBERSHIP_FEED_H_

#include <functional>
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

 private:
  runtime::Task<> Follow();  // on one connection, until it fails

  runtime::Loop& loop_;
  Directory& directory_;
  std::string host_port_;
  std::function<void(EngineList)> tell_;
};

}  // namespace lemoncroft::membership

#endif  // LEMONCROFT_MEMBERSHIP_FEED_H_
