// A lingering close: ends a connection such that the last bytes written have time to arrive.
//
// Closing a socket with unread input resets the connection, and the reset may overtake a response. Therefore,
// the write side is shut down first, and input is read and discarded until the peer closes its side.
//
// The caller writes nothing more and has handled all input that it wants. A request that arrives after the
// shutdown is discarded; its client must repeat it on another connection. The task ends when the peer closes,
// after `timeout`, after kMaxLingerBytes or when `cancel` is cancelled, whichever is first. Then the owner of
// the socket closes it by destroying it. A failure of the connection also ends the task.
#ifndef LEMONCROFT_RUNTIME_LINGERING_CLOSE_H_
#define LEMONCROFT_RUNTIME_LINGERING_CLOSE_H_

#include "runtime/socket.h"

namespace lemoncroft::runtime {

inline constexpr std::size_t kMaxLingerBytes = std::size_t{4} << 20;  // of discarded input

Task<> LingeringClose(Loop& loop, Socket& socket, Duration timeout, Cancellation* cancel);

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_LINGERING_CLOSE_H_
