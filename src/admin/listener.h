// Where operators call: a connection carries one line and gets one answer, in time however busy the proxy is.
//
// Owns its listening socket and its callers. What a call does is the Operations' business.
#ifndef LEMONCROFT_MANAGEMENT_LISTENER_H_
#define LEMONCROFT_MANAGEMENT_LISTENER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "admin/call.h"
#include "runtime/socket.h"

namespace lemoncroft::admin {

struct Reply {
  bool accepted = false;
  std::string message;  // behind ACK or NAK, one line; may be empty
  std::string body;     // whole lines that follow
};

class Listener {
 public:
  static constexpr std::size_t kMaxConnections = 16;  // descriptors that it may take beside its own

  // Throws std::system_error where it cannot listen.
  Listener(runtime::Loop& loop, const runtime::Address& address, std::function<Reply(const Command&)> answer)
      : loop_(loop), listener_(loop, address), answer_(std::move(answer)) {}

  // What is done behind an answer before it is given, within `kAfterMost`; none: nothing.
  static constexpr auto kMaxFollowUps = std::chrono::milliseconds(900);
  std::function<runtime::Task<Reply>(Command, Reply)> follow_up;

  runtime::Task<> Run();

 private:
  struct Caller {
    std::unique_ptr<runtime::Socket> socket;
    runtime::Cancellation cut;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  void MakeRoom();
  runtime::Task<> Serve(CallerPtr caller);
  runtime::Task<Reply> Hear(Caller& caller);

  runtime::Loop& loop_;
  runtime::Listener listener_;
  std::function<Reply(const Command&)> answer_;
  std::list<CallerPtr> callers_;  // by age
};

}  // namespace lemoncroft::admin

#endif  // LEMONCROFT_MANAGEMENT_LISTENER_H_
