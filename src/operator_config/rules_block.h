// The block `rules` of the operator's file: who votes on the rules that the fleet agrees on.
#ifndef LEMONCROFT_OPERATOR_CONFIG_RULES_BLOCK_H_
#define LEMONCROFT_OPERATOR_CONFIG_RULES_BLOCK_H_

#include "operator_config/fields.h"

namespace lemoncroft::operator_config {

ReplicatedConfigSettings ReadReplicatedConfig(const codec::KdlNode& node, Faults& faults);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_RULES_BLOCK_H_
