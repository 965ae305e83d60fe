// The block `rules` of the operator's file: voters and leases of the replicated configuration.
#ifndef LEMONCROFT_OPERATOR_CONFIG_RULES_BLOCK_H_
#define LEMONCROFT_OPERATOR_CONFIG_RULES_BLOCK_H_

#include "operator_config/fields.h"

namespace lemoncroft::operator_config {

// Parses the block and records all its faults. docs/operating-rules.md documents the settings.
ReplicatedConfigSettings ReadReplicatedConfig(const codec::KdlNode& node, Faults& faults);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_RULES_BLOCK_H_
