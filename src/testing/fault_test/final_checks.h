// Checks of the replicated configuration at the end of a trial, after all faults have been healed.
//
// Owned by the TrialRunner. Violations are added to Findings.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_FINAL_CHECKS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_FINAL_CHECKS_H_

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "runtime/loop.h"
#include "testing/fault_test/findings.h"
#include "testing/fault_test/lease_history.h"
#include "testing/fault_test/operator_client.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/script.h"

namespace lemoncroft::fault_test {

// Maximum time from the last fault until the fleet has recovered: it covers an election, the leases and a
// new version.
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

  // Waits until every running proxy uses the newest version or, if the voters are lost, until no proxy
  // acts. Deviations that remain after kRecoveryTimeout are violations.
  runtime::Task<> Run();

 private:
  struct ProxyVersion {
    std::string label;
    std::uint64_t version = 0;
  };
  // A call that a proxy still proposes to the fleet.
  struct ProposedEjection {
    std::string proxy, engine;
    bool ejected = false;
    bool operator<(const ProposedEjection& other) const {
      return std::tie(proxy, engine, ejected) < std::tie(other.proxy, other.engine, other.ejected);
    }
  };
  // Queries the state of all running proxies and returns a description of each deviation.
  runtime::Task<std::vector<std::string>> FindDeviations();
  // Returns the operators' last calls that are neither part of the newest document nor still proposed by
  // their proxy. `proposed` contains the calls that each proxy still proposes.
  runtime::Task<std::vector<std::string>> FindLostEjections(std::set<ProposedEjection> proposed);

  runtime::Loop& loop_;
  const Trial& trial_;
  const ProxyProcesses& processes_;
  OperatorClient& operators_;
  const LeaseHistory& leases_;
  Findings& findings_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_FINAL_CHECKS_H_
