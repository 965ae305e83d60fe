#include "runtime/lingering_close.h"

#include <string>

namespace lemoncroft::runtime {

Task<> LingeringClose(Loop& loop, Socket& socket, Span within, Cancellation* cut) {
  constexpr std::size_t kReadAtOnce = 16 * 1024;
  socket.EndWriting();
  const Time until = Now() + within;
  std::string dropped;
  for (std::size_t left = kLingerBytes; left > 0 && Now() < until;) {
    if (cut != nullptr && cut->cancelled()) break;
    dropped.clear();
    if (co_await socket.Read(dropped, kReadAtOnce, until, cut) != Io::kOk) break;
    left -= std::min(left, dropped.size());
    co_await loop.NextTurn();  // a peer that sends without a pause gets a turn like all others
  }
}

}  // namespace lemoncroft::runtime
