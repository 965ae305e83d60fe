// The block `fleet` of the operator's file: the view of the fleet, and how this proxy is reached in it.
#ifndef LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_
#define LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_

#include "operator_config/fields.h"

namespace lemoncroft::operator_config {

// Notes all that is wrong with it; docs/operating-peers.md tells what each setting does.
FleetSettings ReadFleet(const codec::KdlNode& node, Faults& faults);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_FLEET_BLOCK_H_
