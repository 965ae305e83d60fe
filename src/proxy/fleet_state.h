// The state of the fleet as this proxy sees it, as JSON text: what `lemoncroft peers` shows.
//
// Contract. Pure functions but for the clocks, which the text holds. The keys are read by operators' scripts
// and must not change. Units: seconds in `*_s`, microseconds in `*_us`.
#ifndef LEMONCROFT_PROXY_FLEET_STATE_H_
#define LEMONCROFT_PROXY_FLEET_STATE_H_

#include <cstdint>
#include <string>

#include "gossip/types.h"
#include "peer_transport/link.h"

namespace lemoncroft::proxy {

// `fleet`: the fleet's name.
std::string FleetStateText(const peer_transport::Link& link, const std::string& fleet);

// As in the state and in the log.
const char* PhaseName(gossip::Phase phase);
std::string Hex(gossip::InstanceId id);
// One clock for all processes of a machine, so that their logs can be merged.
std::int64_t MonotonicUs();

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_FLEET_STATE_H_
