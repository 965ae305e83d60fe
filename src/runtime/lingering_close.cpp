#include "runtime/lingering_close.h"

#include <algorithm>
#include <string>

namespace lemoncroft::runtime {

Task<> LingeringClose(Loop& loop, Socket& socket, Duration timeout, Cancellation* cancel) {
  constexpr std::size_t kReadBytes = 16 * 1024;
  socket.ShutdownWrite();
  const Time deadline = Now() + timeout;
  std::string discarded;
  for (std::size_t left = kMaxLingerBytes; left > 0 && Now() < deadline;) {
    if (cancel != nullptr && cancel->cancelled()) break;
    discarded.clear();
    if (co_await socket.Read(discarded, kReadBytes, deadline, cancel) != IoResult::kOk) break;
    left -= std::min(left, discarded.size());
    co_await loop.NextTurn();  // lets other tasks run even if the peer never pauses
  }
}

}  // namespace lemoncroft::runtime
