// The subset of engines that one gateway of many sends to: small enough that the gateway learns their load
// and keeps connections to them.
//
// Contract. Pure functions. Gateways that pass the same engines get subsets that spread evenly. Units:
// engines. Errors: none; less than one gateway counts as one. docs/design.md has the reasons.
#ifndef LEMONCROFT_SUBSET_SUBSET_H_
#define LEMONCROFT_SUBSET_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "lemoncroft/types.h"

namespace lemoncroft::subset {

// A hash that is the same in all gateways: splitmix64 (Steele, Lea, Flood 2014).
inline std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// The engines in rendezvous order for the key: highest hash of key and engine first.
std::vector<EngineId> RankByHash(const std::vector<EngineId>& engines, std::uint64_t key);

// Size of the subset of each of `gateways`.
std::size_t SubsetSize(std::size_t engines, int gateways);

// The subset by rendezvous hashing of the gateway's number. An engine that comes or goes changes few subsets,
// but the number of gateways of one engine is random.
std::vector<EngineId> SubsetByHash(const std::vector<EngineId>& engines, int gateways, int gateway_index);

// The subset by the gateway's rank among the live gateways: a window on the ring of engines. The numbers of
// gateways of any two engines differ by at most one; an engine or a gateway that comes or goes moves each
// window by at most one engine.
std::vector<EngineId> SubsetByMembershipRank(const std::vector<EngineId>& engines, int gateways,
                                             int gateway_index);

// The greatest number of gateways that have one engine in their windows.
int MaxGatewaysPerEngine(std::size_t engines, int gateways);

}  // namespace lemoncroft::subset

#endif  // LEMONCROFT_SUBSET_SUBSET_H_
