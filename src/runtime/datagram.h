// A non-blocking UDP socket on the event loop. Datagrams that can't be sent immediately are dropped.
//
// One coroutine receives at a time. The loop outlives the socket. The constructor throws std::system_error if
// the address can't be bound; Send returns false for a dropped datagram; errors while receiving are retried.
// Used on the event loop's thread.
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

  // One datagram. Its bytes are valid until the next call. A datagram longer than `kMaxBytes` is truncated,
  // and `complete` is false.
  struct Received {
    IoResult result = IoResult::kOk;
    std::string_view bytes;
    bool complete = true;
    Address from;
  };
  static constexpr std::size_t kMaxBytes = 2048;
  // Waits for a datagram. Received::result is kOk or kCancelled.
  Task<Received> Receive(Cancellation* cancel = nullptr);
  // Returns false if the system did not accept the datagram: its buffer is full, or there is no route.
  bool Send(std::string_view bytes, const Address& to);

 private:
  Loop& loop_;
  DescriptorReadiness readiness_;
  Descriptor fd_;
  char buffer_[kMaxBytes];
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_DATAGRAM_H_
