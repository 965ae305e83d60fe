// The block `fleet` of the operator's file: membership of the fleet, and how peers reach this proxy.
#ifndef LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_
#define LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_

#include "operator_config/fields.h"

namespace lemoncroft::operator_config {

// Records all faults of the block. docs/operating-peers.md has the settings.
FleetSettings ReadFleet(const codec::KdlNode& node, Faults& faults);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_
