// The block `waiting` of the operator's file: the admission queue, its classes and the tenants' budgets.
#ifndef LEMONCROFT_OPERATOR_CONFIG_ADMISSION_QUEUE_BLOCK_H_
#define LEMONCROFT_OPERATOR_CONFIG_ADMISSION_QUEUE_BLOCK_H_

#include "operator_config/fields.h"

namespace lemoncroft::operator_config {

// Parses the block, which refers to classes and tenants of `site`, and records all its faults.
// docs/operating-waiting.md documents the settings.
AdmissionQueueSettings ReadAdmissionQueue(const codec::KdlNode& node, const settings::Site& site,
                                          Faults& faults);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_ADMISSION_QUEUE_BLOCK_H_
