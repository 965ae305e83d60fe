// Checks of the replicated configuration at the end of a trial, when all faults are healed.
//
// Owned by the TrialRunner. Violations go to Findings.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_FINAL_CHECKS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_FINAL_CHECKS_H_

#include <string>
#include <vector>

#include "runtime/loop.h"
#include "testing/fault_test/findings.h"
#include "testing/fault_test/lease_history.h"
#include "testing/fault_test/operator_client.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/script.h"

namespace lemoncroft::fault_test {

// How long the fleet may take from the last fault: an election, leases, a version.
inline constexpr Duration kRecoveryTimeout = std::chrono::milliseconds(6000);

class ReplicatedConfigCheck {
 public:
  // The references must outlive this and its tasks.
  ReplicatedConfigCheck(runtime::Loop& loop, const Trial& trial, const ProxyProcesses& processes,
                        OperatorClient& operators, const LeaseHistory& leases, Findings& findings)
      : loop_(loop),
        trial_(trial),
        processes_(processes),
        operators_(operators),
        leases_(leases),
        findings_(findings) {}

  // Waits until every running proxy uses the newest version, or none acts if the voters are lost. What is
  // still wrong after kRecoveryTimeout is a violation.
  runtime::Task<> Run();

 private:
  struct ProxyVersion {
    std::string label;
    std::uint64_t version = 0;
  };
  // Asks all running proxies for their state and returns what is wrong.
  runtime::Task<std::vector<std::string>> FindDeviations();

  runtime::Loop& loop_;
  const Trial& trial_;
  const ProxyProcesses& processes_;
  OperatorClient& operators_;
  const LeaseHistory& leases_;
  Findings& findings_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_FINAL_CHECKS_H_
