// Emulates the control feed: publishes the endpoint list and its changes as events. A poll waits for the
// next event.
//
// Owned by the TrialEnvironment, on its loop. The constructor throws std::system_error if the address
// cannot be bound.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_EMULATED_CONTROL_FEED_H_
#define LEMONCROFT_TESTING_FAULT_TEST_EMULATED_CONTROL_FEED_H_

#include <memory>
#include <string>
#include <vector>

#include "runtime/socket.h"

namespace lemoncroft::fault_test {

class EmulatedControlFeed {
 public:
  EmulatedControlFeed(runtime::Loop& loop, const runtime::Address& address)
      : loop_(loop), listener_(loop, address) {}
  void Start();
  // Publishes an event. `endpoints` is a JSON array without its brackets. The first event is a complete
  // list.
  void Publish(const std::string& endpoints);
  // Returns all events published so far, as a JSON document to embed in a configuration.
  std::string KnownEvents() const { return EventsAfter(0); }

 private:
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket);
  std::string EventsAfter(std::size_t revision) const;

  runtime::Loop& loop_;
  runtime::Listener listener_;
  std::vector<std::string> events_;  // by revision, from revision 1 on
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_EMULATED_CONTROL_FEED_H_
