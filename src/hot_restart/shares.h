// How the processes of one proxy, which for a while are two or more, divide its limits. No I/O, no clock.
#ifndef LEMONCROFT_HANDOVER_SHARES_H_
#define LEMONCROFT_HANDOVER_SHARES_H_

#include <cstddef>
#include <cstdint>

namespace lemoncroft::hot_restart {

// Connections that a process holds, and whether it lets clients in (1) or is starting or ending (0).
struct Holding {
  std::uint32_t clients = 0, engines = 0, serves = 0;
};

// The others that live: how many, and what they hold together.
struct Others {
  std::size_t processes = 0;
  Holding holding;
};

// The whole of a proxy, and what each process needs beside its connections.
struct Whole {
  std::size_t descriptors = 0, clients = 0, own = 0;
};

struct Share {
  std::size_t clients = 0, engines = 0;
};

// By how many a process divides the budgets that hold for the proxy as a whole: all that let clients in have
// the same part. One that is ending takes nothing new, and its part of the traffic fades by itself.
int Parts(const Holding& own, const Others& others);

// Alone: all clients, and for the engines what is left. With others: what they don't hold, with a least for
// each; engines have what clients leave, as many as there are now and half of the most beside, so that a
// share shrinks when clients come.
Share Divide(const Whole& whole, const Holding& own, const Others& others);

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HANDOVER_SHARES_H_
