// The clients of a trial: one LoadClient for each proxy, and tasks that flood proxies with readiness
// queries.
//
// Owned by the TrialRunner, on its loop. No client runs before Start(). CheckResponses() accepts a request
// without a response only if its proxy was killed while the request was open.
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

  // Starts one client for each of the machines 1 to `machines`.
  void Start(std::size_t machines, double requests_per_second);
  void Stop();
  // Sends 20,000 readiness queries per second to a proxy. Runs until the loop stops.
  runtime::Task<> FloodReadinessQueries(std::size_t machine);

  // Returns the requests sent by, and served to, the clients of these machines. Machines without a client
  // are ignored.
  RequestCounts CountsOf(const std::vector<std::size_t>& machines) const;
  // Checks that each request had exactly one response. Called after the clients have stopped.
  void CheckResponses(const ProxyProcesses& processes, Findings& findings) const;

 private:
  runtime::Loop& loop_;
  const TrialEnvironment& environment_;
  std::vector<std::unique_ptr<LoadClient>> clients_;  // by machine, from machine 1 on
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_CLIENT_LOAD_H_
