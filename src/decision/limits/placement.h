// Restrictions on the engines that a request may run on: the zones and kinds that its class allows, and the
// engines that recognise its repeats.
#ifndef LEMONCROFT_LIMITS_PLACEMENT_H_
#define LEMONCROFT_LIMITS_PLACEMENT_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::limits {

// Returns true if requests of the class may run on the engine. A class without zones or kinds isn't
// restricted.
inline bool PlacementAllows(const ClassSettings& settings, const EngineEntry& engine) {
  const auto within = [](const std::vector<std::uint16_t>& places, std::uint16_t place) {
    return places.empty() || std::find(places.begin(), places.end(), place) != places.end();
  };
  return within(settings.zones, engine.zone) && within(settings.kinds, engine.kind);
}

// Returns true if `engine` recognises repeats of a request that may have run on `may_have_run_on`.
inline bool RecognizesRepeats(RepeatGroup group, const EngineEntry& may_have_run_on,
                              const EngineEntry& engine) {
  switch (group) {
    case RepeatGroup::kAll:
      return true;
    case RepeatGroup::kZone:
      return may_have_run_on.zone == engine.zone;
    case RepeatGroup::kCell:
      return may_have_run_on.cell == engine.cell;
  }
  return false;
}

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_PLACEMENT_H_
