// The engines that one gateway of many sends to: its part of a large fleet, which it meets often enough to
// learn it and keep connections warm.
//
// Contract. Pure functions of their arguments; all gateways that pass the same engines get parts that fit
// together. docs/design.md tells why subsets. Units: engines. Errors: none; a fleet without gateways counts
// as one of one.
#ifndef LEMONCROFT_SUBSET_SUBSET_H_
#define LEMONCROFT_SUBSET_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "lemoncroft/types.h"

namespace lemoncroft::subset {

// A mixing function, so that all gateways rank engines alike: splitmix64 (Steele, Lea, Flood 2014).
inline std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// The engines in an order that only they and the key make.
std::vector<EngineId> RankByHash(const std::vector<EngineId>& engines, std::uint64_t key);

// How many of so many engines one of `gateways` sends to.
std::size_t SubsetSize(std::size_t engines, int gateways);

// By rendezvous hashing of the gateway's number: an engine that comes or goes moves few others. How many
// gateways meet on an engine is up to chance.
std::vector<EngineId> SubsetByHash(const std::vector<EngineId>& engines, int gateways, int self);

// By the gateway's place among those known to live: a window on the ring of engines. Every engine is in as
// many windows as any other, but for one; an engine or a gateway that comes or goes moves each window by one
// at the most.
std::vector<EngineId> SubsetByMembershipRank(const std::vector<EngineId>& engines, int gateways, int place);

// The greatest number of gateways that have one engine in their windows.
int MaxGatewaysPerEngine(std::size_t engines, int gateways);

}  // namespace lemoncroft::subset

#endif  // LEMONCROFT_SUBSET_SUBSET_H_
