#include "decision/subset/subset.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemoncroft::subset {
namespace {

constexpr double kGatewaysPerEngine = 25;   // target; enough to smooth out the bursts of gateways
constexpr std::size_t kMinSubsetSize = 10;  // engines, some of which may be warming up or failing

}  // namespace

std::vector<EngineId> RankByHash(const std::vector<EngineId>& engines, std::uint64_t key) {
  std::vector<std::pair<std::uint64_t, EngineId>> ranks;
  ranks.reserve(engines.size());
  for (const EngineId id : engines) ranks.emplace_back(Mix(key ^ id), id);
  std::sort(ranks.begin(), ranks.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<EngineId> ranked;
  ranked.reserve(ranks.size());
  for (const auto& [rank, id] : ranks) ranked.push_back(id);
  return ranked;
}

std::size_t SubsetSize(std::size_t engines, int gateways) {
  const double wanted = std::ceil(static_cast<double>(engines) * kGatewaysPerEngine / std::max(1, gateways));
  return std::min(engines, std::max(kMinSubsetSize, static_cast<std::size_t>(wanted)));
}

std::vector<EngineId> SubsetByHash(const std::vector<EngineId>& engines, int gateways, int gateway_index) {
  std::vector<EngineId> ranked = RankByHash(engines, Mix(static_cast<std::uint64_t>(gateway_index) + 1));
  ranked.resize(SubsetSize(ranked.size(), gateways));
  return ranked;
}

std::vector<EngineId> SubsetByMembershipRank(const std::vector<EngineId>& engines, int gateways,
                                             int gateway_index) {
  const std::vector<EngineId> ring = RankByHash(engines, 0);
  std::vector<EngineId> window;
  const std::size_t all = static_cast<std::size_t>(std::max(1, gateways));
  const std::size_t first = static_cast<std::size_t>(std::max(0, gateway_index)) * ring.size() / all;
  for (std::size_t i = 0; i < SubsetSize(ring.size(), gateways); ++i)
    window.push_back(ring[(first + i) % ring.size()]);
  return window;
}

int MaxGatewaysPerEngine(std::size_t engines, int gateways) {
  if (engines == 0) return 1;
  const std::size_t all = SubsetSize(engines, gateways) * static_cast<std::size_t>(std::max(1, gateways));
  // Windows start at rounded positions of the ring, so that an engine may be in one window more than the
  // mean.
  const std::size_t mean = (all + engines - 1) / engines;
  return static_cast<int>(std::min<std::size_t>(mean + 1, static_cast<std::size_t>(std::max(1, gateways))));
}

}  // namespace lemoncroft::subset
