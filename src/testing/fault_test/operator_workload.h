// The operators' workload throughout a trial: they propose and read configurations at random proxies or,
// without a replicated configuration, distribute files to every proxy in turn.
//
// Owned by the TrialRunner, on its loop. Both workloads run until Stop(). Random draws depend only on the
// trial's seed.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_OPERATOR_WORKLOAD_H_
#define LEMONCROFT_TESTING_FAULT_TEST_OPERATOR_WORKLOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runtime/loop.h"
#include "testing/fault_test/link_faults.h"
#include "testing/fault_test/operator_client.h"
#include "testing/fault_test/proxy_processes.h"
#include "testing/fault_test/script.h"
#include "testing/fault_test/trial_environment.h"

namespace lemoncroft::fault_test {

// Proposes and reads at a constant rate.
class ProposalWorkload {
 public:
  // The references must outlive this and its tasks.
  ProposalWorkload(runtime::Loop& loop, const Trial& trial, const ProxyProcesses& processes,
                   OperatorClient& operators)
      : loop_(loop), trial_(trial), processes_(processes), operators_(operators) {}
  runtime::Task<> Run();
  void Stop() { stopped_ = true; }

 private:
  std::vector<std::string> RunningProxies() const;

  runtime::Loop& loop_;
  const Trial& trial_;
  const ProxyProcesses& processes_;
  OperatorClient& operators_;
  std::uint64_t documents_ = 0;
  bool stopped_ = false;
};

// Repeatedly rewrites the configuration files of all proxies and signals each process to reload its files.
// Retries a proxy that cannot be reached from the first machine. This is the baseline with which a
// replicated configuration is compared.
class ConfigFileRollout {
 public:
  // The references must outlive this and its tasks.
  ConfigFileRollout(runtime::Loop& loop, const Trial& trial, TrialEnvironment& environment,
                    ProxyProcesses& processes, const LinkFaultInjector& links)
      : loop_(loop), trial_(trial), environment_(environment), processes_(processes), links_(links) {}
  runtime::Task<> Run();
  void Stop() { stopped_ = true; }
  // Called with each log line of a process. Records when the process has reloaded its files.
  void HandleLogLine(const ProxyProcess& process, const std::string& line);
  // Returns the longest time during which one proxy used a version while another proxy, which runs at
  // `end`, used an earlier one.
  double MaxContradictionMs(Time end) const;

 private:
  struct Adoption {
    Time at{};
    std::size_t machine = 0;
    std::uint64_t version = 0;
  };
  // Returns true if the files were written and the process was signalled.
  bool Push(std::size_t machine, std::uint64_t version);

  runtime::Loop& loop_;
  const Trial& trial_;
  TrialEnvironment& environment_;
  ProxyProcesses& processes_;
  const LinkFaultInjector& links_;
  std::vector<Adoption> adoptions_;
  std::map<std::size_t, std::uint64_t> pushed_versions_;  // by machine
  bool stopped_ = false;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_OPERATOR_WORKLOAD_H_
