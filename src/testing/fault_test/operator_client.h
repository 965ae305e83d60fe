// An operator's calls to the proxies of a trial: proposals and reads of the replicated configuration,
// changes of voters, manual ejections.
//
// Owned by the TrialRunner, on its loop. Each proposal and read is recorded from its invocation to its
// response for the linearizability check; the result of one without a response remains kUnknown. A call
// whose response violates a rule is recorded in Findings.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_OPERATOR_CLIENT_H_
#define LEMONCROFT_TESTING_FAULT_TEST_OPERATOR_CLIENT_H_

#include <cstdint>
#include <string>

#include "runtime/loop.h"
#include "testing/fault_test/findings.h"
#include "testing/fault_test/lease_history.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/trial_environment.h"

namespace lemoncroft::fault_test {

enum class EjectionChange { kEject, kUneject };

// `proxy` is the name of the proxy to call; a call to a proxy that is not running has no effect. Arguments
// are passed by value, since each call runs as a separate task.
class OperatorClient {
 public:
  // The references must outlive this and its tasks.
  OperatorClient(runtime::Loop& loop, const TrialEnvironment& environment, ProxyProcesses& processes,
                 LeaseHistory& leases, Findings& findings)
      : loop_(loop), environment_(environment), processes_(processes), leases_(leases), findings_(findings) {}

  runtime::Task<> Propose(std::string proxy, std::string document, std::uint64_t base_version);
  runtime::Task<> Read(std::string proxy);
  runtime::Task<> ChangeEjection(std::string proxy, std::string engine, EjectionChange change);
  // `direction` is "in" or "out". Retries until the change is committed or all attempts have failed.
  runtime::Task<> ChangeVoter(std::string proxy, std::string direction, std::string voter);
  // Sends a call, as JSON, to the proxy's peer port. Returns the response; empty if there is none.
  runtime::Task<std::string> Call(std::string proxy, std::string call);

  // The newest version reported by any response.
  std::uint64_t newest_version() const { return newest_version_; }
  // Number of proposals and reads so far.
  std::uint64_t calls() const { return calls_; }

 private:
  // Records the start of an operation. Returns its index in LeaseHistory::operations.
  std::size_t RecordInvocation(Operation operation, const char* id_prefix);

  runtime::Loop& loop_;
  const TrialEnvironment& environment_;
  ProxyProcesses& processes_;
  LeaseHistory& leases_;
  Findings& findings_;
  std::uint64_t newest_version_ = 0, calls_ = 0;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_OPERATOR_CLIENT_H_
