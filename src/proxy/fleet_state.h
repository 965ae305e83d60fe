// Formats the state of the fleet in this proxy's view as JSON text, which `lemoncroft peers` shows.
//
// Operators' scripts read the keys, so that these must not change. Keys that end in `_s` have seconds as
// their unit, `_ms` milliseconds and `_us` microseconds.
#ifndef LEMONCROFT_PROXY_FLEET_STATE_H_
#define LEMONCROFT_PROXY_FLEET_STATE_H_

#include <cstdint>
#include <string>

#include "gossip/types.h"
#include "peer_transport/link.h"

namespace lemoncroft::proxy {

// Returns the state at the current time. `fleet` is the fleet's name.
std::string FleetStateText(const peer_transport::Link& link, const std::string& fleet);

// The form of a phase and of an instance id in the state file and in the log.
const char* PhaseName(gossip::Phase phase);
std::string Hex(gossip::InstanceId id);
// Returns the time of the monotonic clock in microseconds. All processes of a machine share this clock, so
// that their logs can be merged.
std::int64_t MonotonicUs();

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_FLEET_STATE_H_
