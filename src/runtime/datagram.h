// A non-blocking UDP socket on the loop: what can't be sent at once is not sent.
//
// Owner: whoever made it. Units: bytes. Errors: std::system_error where it can't be bound; a datagram that
// the system does not take is told as such and dropped.
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

  // One datagram; valid until the next call. Longer ones than `kMost` are cut, which `whole` tells.
  struct Received {
    Io io = Io::kOk;
    std::string_view bytes;
    bool whole = true;
    Address from;
  };
  static constexpr std::size_t kMost = 2048;
  Task<Received> Receive(Cancellation* cancel = nullptr);
  // False where the system does not take it: no room to send, no way there.
  bool Send(std::string_view bytes, const Address& to);

 private:
  Loop& loop_;
  Watched watched_;
  Descriptor fd_;
  char buffer_[kMost];
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_DATAGRAM_H_
