// The clients of a trial: one LoadClient for each proxy, and floods of readiness queries.
//
// Owned by the TrialRunner, on its loop. No client runs before Start(). The check allows a request without
// a response only where its proxy was killed under it.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_CLIENT_LOAD_H_
#define LEMONCROFT_TESTING_FAULT_TEST_CLIENT_LOAD_H_

#include <memory>
#include <vector>

#include "runtime/loop.h"
#include "testing/fault_test/findings.h"
#include "testing/fault_test/load_client.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/trial_environment.h"

namespace lemoncroft::fault_test {

class ClientLoad {
 public:
  // The references must outlive this and its tasks.
  ClientLoad(runtime::Loop& loop, const TrialEnvironment& environment)
      : loop_(loop), environment_(environment) {}

  // Clients of the machines 1 to `machines`.
  void Start(std::size_t machines, double requests_per_second);
  void Stop();
  // Asks a proxy 20,000 times a second whether it is ready. Runs until the loop stops.
  runtime::Task<> FloodReadinessQueries(std::size_t machine);

  // Requests sent by, and served to, the clients of these machines. Machines without a client are ignored.
  RequestCounts CountsOf(const std::vector<std::size_t>& machines) const;
  // Once the clients have stopped: each request had exactly one response.
  void CheckResponses(const ProxyProcesses& processes, Findings& findings) const;

 private:
  runtime::Loop& loop_;
  const TrialEnvironment& environment_;
  std::vector<std::unique_ptr<LoadClient>> clients_;  // of machine 1 and on
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_CLIENT_LOAD_H_
