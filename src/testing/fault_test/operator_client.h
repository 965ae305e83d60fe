// An operator's calls to the proxies of a trial: proposals and reads of the replicated configuration,
// changes of voters, manual ejections.
//
// Owned by the TrialRunner, on its loop. Each proposal and read is recorded from its invocation to its
// response for the linearizability check; one without a response stays of unknown result. A call whose
// answer breaks a rule is recorded in Findings.
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

// `proxy` names the proxy that is called; a call to one that does not run does nothing. Arguments are taken
// by value, since a call runs as a task of its own.
class OperatorClient {
 public:
  // The references must outlive this and its tasks.
  OperatorClient(runtime::Loop& loop, const TrialEnvironment& environment, ProxyProcesses& processes,
                 LeaseHistory& leases, Findings& findings)
      : loop_(loop), environment_(environment), processes_(processes), leases_(leases), findings_(findings) {}

  runtime::Task<> Propose(std::string proxy, std::string document, std::uint64_t base_version);
  runtime::Task<> Read(std::string proxy);
  runtime::Task<> ChangeEjection(std::string proxy, std::string engine, EjectionChange change);
  // `direction` is "in" or "out". Repeats the call until it is committed.
  runtime::Task<> ChangeVoter(std::string proxy, std::string direction, std::string voter);
  // Sends a call, as JSON, over the proxy's peer port. Returns the response; empty if none came.
  runtime::Task<std::string> Call(std::string proxy, std::string call);

  // The newest version that any response named.
  std::uint64_t newest_version() const { return newest_version_; }
  // Proposals and reads so far.
  std::uint64_t calls() const { return calls_; }

 private:
  // Returns the place of the new operation in the LeaseHistory.
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
