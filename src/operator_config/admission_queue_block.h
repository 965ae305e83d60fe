// The block `waiting` of the operator's file: the admission queue with its classes and tenants' budgets.
#ifndef LEMONCROFT_OPERATOR_CONFIG_ADMISSION_QUEUE_BLOCK_H_
#define LEMONCROFT_OPERATOR_CONFIG_ADMISSION_QUEUE_BLOCK_H_

#include "operator_config/fields.h"

namespace lemoncroft::operator_config {

// Records all faults of the block, which names classes and tenants of `site`. docs/operating-waiting.md has
// the settings.
AdmissionQueueSettings ReadAdmissionQueue(const codec::KdlNode& node, const settings::Site& site,
                                          Faults& faults);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_ADMISSION_QUEUE_BLOCK_H_
