// A non-blocking UDP socket on the loop: datagrams that can't be sent at once are dropped.
//
// Contract. One coroutine receives at a time. The loop outlives the socket. Errors: std::system_error from
// the constructor if the address can't be bound; Send returns false for a datagram that was dropped; errors
// while receiving are retried. Thread: the event loop's.
#ifndef LEMONCROFT_RUNTIME_DATAGRAM_H_
#define LEMONCROFT_RUNTIME_DATAGRAM_H_

#include <string_view>

#include "runtime/socket.h"

namespace lemoncroft::runtime {

class DatagramSocket {
 public:
  DatagramSocket(Loop& loop, const Address& address);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // One datagram; its bytes are valid until the next call. Longer ones than `kMaxBytes` are cut; `complete`
  // is false then.
  struct Received {
    IoResult result = IoResult::kOk;
    std::string_view bytes;
    bool complete = true;
    Address from;
  };
  static constexpr std::size_t kMaxBytes = 2048;
  // Waits for a datagram. Received::result is kOk or kCancelled.
  Task<Received> Receive(Cancellation* cancel = nullptr);
  // False if the system didn't take the datagram: its buffer is full, or there is no route.
  bool Send(std::string_view bytes, const Address& to);

 private:
  Loop& loop_;
  DescriptorReadiness readiness_;
  Descriptor fd_;
  char buffer_[kMaxBytes];
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_DATAGRAM_H_
