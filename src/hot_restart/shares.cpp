#include "hot_restart/shares.h"

#include <algorithm>

namespace lemoncroft::hot_restart {
namespace {

constexpr std::size_t kEnginesLeast = 16;  // with fewer nothing gets on, whatever the limits
constexpr std::size_t kMargin = 16;        // connections that may come up before the others are seen again

std::size_t Less(std::size_t from, std::size_t by) { return from - std::min(from, by); }

}  // namespace

int Parts(const Holding& own, const Others& others) {
  return own.serves > 0 ? static_cast<int>(others.holding.serves) + 1 : 1;
}

Share Divide(const Whole& whole, const Holding& own, const Others& others) {
  const std::size_t processes = others.processes + 1;
  if (others.processes == 0) {
    const std::size_t engines = Less(whole.descriptors, whole.clients + whole.own);
    return {whole.clients, std::max(kEnginesLeast, engines)};
  }
  Share share;
  share.clients = std::max(whole.clients / 4, Less(whole.clients, others.holding.clients));
  const std::size_t clients_most = whole.clients + others.processes * (whole.clients / 4);
  const std::size_t clients =
      std::min(clients_most, own.clients + others.holding.clients + whole.clients / 2);
  const std::size_t engines = Less(whole.descriptors, clients + processes * whole.own);
  const std::size_t least = engines / (2 * processes);  // which each of the others may take at any time
  const std::size_t unheld = Less(engines, others.holding.engines + kMargin);
  share.engines = std::max(kEnginesLeast, std::clamp(unheld, least, Less(engines, others.processes * least)));
  return share;
}

}  // namespace lemoncroft::hot_restart
