// Ends a connection so that what was written last arrives: a lingering close.
//
// A close over bytes that nobody has read is a reset, which may overtake an answer on its way. So the writing
// side is shut down first, and what the peer still sends is read and dropped until the peer's own end.
//
// Contract. Nothing is to be written any more, and nothing that comes from now on is taken: a request that
// crosses the shutdown is the peer's to send again elsewhere. Ends at the peer's end, after `within`, after
// kLingerBytes, or when cut short, whichever comes first; then the owner of the socket closes it by
// destroying it.
#ifndef LEMONCROFT_RUNTIME_LINGERING_CLOSE_H_
#define LEMONCROFT_RUNTIME_LINGERING_CLOSE_H_

#include "runtime/socket.h"

namespace lemoncroft::runtime {

inline constexpr std::size_t kLingerBytes = std::size_t{4} << 20;  // of a flood that goes on

Task<> LingeringClose(Loop& loop, Socket& socket, Span within, Cancellation* cut);

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_LINGERING_CLOSE_H_
