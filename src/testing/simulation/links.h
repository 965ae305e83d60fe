// Simulates the links between proxies in virtual time: each directed link between two nodes loses, delays,
// reorders, duplicates or corrupts messages, or is cut.
//
// Deterministic for a seed. Times count from the start of the simulation.
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
  double bandwidth = 0;  // bytes per second; 0: unlimited. Messages that would wait for over 1 s are lost
  bool cut = false;
};

class Links {
 public:
  explicit Links(std::uint64_t seed) : random_(seed) {}

  LinkFaults& default_faults() { return default_faults_; }
  void Set(Node from, Node to, const LinkFaults& faults) { link_faults_[{from, to}] = faults; }
  void Cut(Node from, Node to, bool cut);
  // Puts a node on a side of a partition. Nodes that share no side cannot reach each other. A node without a
  // side reaches all nodes; a node on two sides reaches the nodes of both.
  void AssignSide(Node node, int side) { sides_[node].insert(side); }
  void Heal();  // removes all partitions, and the faults and cuts of single links

  const LinkFaults& FaultsOf(Node from, Node to) const;
  bool IsOpen(Node from, Node to) const;                // false if the link is cut or partitioned
  void Garble(Node from, Node to, std::string& bytes);  // flips one bit, with probability `garble`
  // Calls `deliver(at, bytes)` for each copy of the message that arrives.
  template <typename F>
  void Send(Instant now, Node from, Node to, const std::string& bytes, F&& deliver) {
    const LinkFaults& faults = FaultsOf(from, to);
    if (!IsOpen(from, to) || DrawUniform() < faults.loss) return;
    if (faults.bandwidth > 0) {
      Instant& backlog_end = backlog_end_[{from, to}];
      backlog_end =
          std::max(backlog_end, now) +
          Instant(static_cast<std::int64_t>(1e9 * static_cast<double>(bytes.size()) / faults.bandwidth));
      if (backlog_end - now > std::chrono::seconds(1)) return;
      now = backlog_end;
    }
    const int copies = DrawUniform() < faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      std::string copy = bytes;
      Garble(from, to, copy);
      deliver(
          now + faults.delay +
              Instant(static_cast<std::int64_t>(DrawUniform() * static_cast<double>(faults.spread.count()))),
          std::move(copy));
    }
  }

 private:
  double DrawUniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  std::mt19937_64 random_;
  LinkFaults default_faults_;
  std::map<std::pair<Node, Node>, LinkFaults> link_faults_;
  std::map<Node, std::set<int>> sides_;
  std::map<std::pair<Node, Node>, Instant> backlog_end_;  // when the link has transmitted its backlog
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_LINKS_H_
