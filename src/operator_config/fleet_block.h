// The block `fleet` of the operator's file: the fleet's membership, and the addresses of this proxy for
// peers.
#ifndef LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_
#define LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_

#include "operator_config/fields.h"

namespace lemoncroft::operator_config {

// Parses the block and records all its faults. docs/operating-peers.md documents the settings.
FleetSettings ReadFleet(const codec::KdlNode& node, Faults& faults);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_
