// The subset of the engines that one of many gateways sends to. It is small enough that the gateway learns
// the load of its engines and keeps connections to them. docs/design.md gives the reasons.
//
// Gateways must pass the same engines. Their subsets are then spread evenly by membership rank, and by hash
// only on average. Fewer than one gateway counts as one.
#ifndef LEMONCROFT_SUBSET_SUBSET_H_
#define LEMONCROFT_SUBSET_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "lemoncroft/types.h"

namespace lemoncroft::subset {

// Returns a hash that is the same in all gateways: splitmix64 (Steele, Lea, Flood 2014).
inline std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Returns the engines in rendezvous order for the key: highest hash of key and engine first.
std::vector<EngineId> RankByHash(const std::vector<EngineId>& engines, std::uint64_t key);

// Returns the number of engines in the subset of each of `gateways`.
std::size_t SubsetSize(std::size_t engines, int gateways);

// Returns the subset by rendezvous hashing of the gateway index. Adding or removing an engine changes few
// subsets, but the number of gateways per engine is random.
std::vector<EngineId> SubsetByHash(const std::vector<EngineId>& engines, int gateways, int gateway_index);

// Returns the subset by the gateway's rank among the live gateways: a window on the ring of engines. The
// numbers of gateways of any two engines differ by at most one. Adding or removing an engine or a gateway
// moves each window by at most one engine.
std::vector<EngineId> SubsetByMembershipRank(const std::vector<EngineId>& engines, int gateways,
                                             int gateway_index);

// Returns an upper bound of the number of gateways that have the same engine in their windows. It doesn't
// hold for subsets by hash.
int MaxGatewaysPerEngine(std::size_t engines, int gateways);

}  // namespace lemoncroft::subset

#endif  // LEMONCROFT_SUBSET_SUBSET_H_
