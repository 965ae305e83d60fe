// Simulated links between proxies in virtual time: each directed pair of nodes loses, delays, reorders,
// duplicates, corrupts or cuts what is sent over it.
//
// Deterministic for a seed; owned by one simulation. Times are spans since its start.
#ifndef LEMONCROFT_TESTING_SIMULATION_LINKS_H_
#define LEMONCROFT_TESTING_SIMULATION_LINKS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace lemoncroft::simulation {

using Instant = std::chrono::nanoseconds;  // since the start of the simulation
using Node = std::uint32_t;

struct LinkFaults {
  double loss = 0, duplicate = 0, garble = 0;  // probabilities
  Instant delay = std::chrono::microseconds(200), spread = std::chrono::microseconds(300);
  double bandwidth = 0;  // bytes per second, 0: unlimited; what would wait for over a second is lost
  bool cut = false;
};

class Links {
 public:
  explicit Links(std::uint64_t seed) : random_(seed) {}

  LinkFaults& usual() { return usual_; }
  void Set(Node from, Node to, const LinkFaults& faults) { special_[{from, to}] = faults; }
  void Cut(Node from, Node to, bool cut);
  // Partitions the nodes: those that share no side cannot reach each other. A node without a side reaches
  // all; a node on two sides bridges them.
  void Side(Node node, int side) { sides_[node].insert(side); }
  void Heal();  // removes all partitions, faults and cuts

  const LinkFaults& Of(Node from, Node to) const;
  bool Open(Node from, Node to) const;                  // whether anything sent can arrive
  void Garble(Node from, Node to, std::string& bytes);  // flips one bit with the probability of `garble`
  // Calls `arrives(at, bytes)` for each copy that will arrive.
  template <typename F>
  void Send(Instant now, Node from, Node to, const std::string& bytes, F&& arrives) {
    const LinkFaults& faults = Of(from, to);
    if (!Open(from, to) || Draw() < faults.loss) return;
    if (faults.bandwidth > 0) {
      Instant& free = free_[{from, to}];
      free = std::max(free, now) +
             Instant(static_cast<std::int64_t>(1e9 * static_cast<double>(bytes.size()) / faults.bandwidth));
      if (free - now > std::chrono::seconds(1)) return;
      now = free;
    }
    const int copies = Draw() < faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      std::string copy = bytes;
      Garble(from, to, copy);
      arrives(now + faults.delay +
                  Instant(static_cast<std::int64_t>(Draw() * static_cast<double>(faults.spread.count()))),
              std::move(copy));
    }
  }

 private:
  double Draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  std::mt19937_64 random_;
  LinkFaults usual_;
  std::map<std::pair<Node, Node>, LinkFaults> special_;
  std::map<Node, std::set<int>> sides_;
  std::map<std::pair<Node, Node>, Instant> free_;  // when the link has sent its backlog
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_LINKS_H_
