// Random trials: the same seed and size give the same trial. At the end of each trial all links are healed
// and the voters are running.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_RANDOM_TRIAL_H_
#define LEMONCROFT_TESTING_FAULT_TEST_RANDOM_TRIAL_H_

#include <cstdint>

#include "testing/fault_test/script.h"

namespace lemoncroft::fault_test {

// Returns a trial of the membership view.
Trial DrawTrial(std::uint64_t seed, std::size_t proxies);
// Returns a trial that also has a replicated configuration, changes by operators, and voters that end and
// start.
Trial DrawReplicatedConfigTrial(std::uint64_t seed, std::size_t proxies);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_RANDOM_TRIAL_H_
