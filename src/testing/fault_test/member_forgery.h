// Sends forged gossip to the proxies of a trial: over ten thousand members that do not exist.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_MEMBER_FORGERY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_MEMBER_FORGERY_H_

#include "runtime/loop.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/trial_environment.h"

namespace lemoncroft::fault_test {

// Sends from the advertised host of `machine`. The references must outlive the task.
runtime::Task<> ForgeMembers(runtime::Loop& loop, const TrialEnvironment& environment,
                             const ProxyProcesses& processes, std::size_t machine);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_MEMBER_FORGERY_H_
