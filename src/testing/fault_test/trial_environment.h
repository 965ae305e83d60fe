// The environment of the processes of one trial: its ports and addresses, a folder for each machine, the
// proxies' configuration files, the engines and the control feed.
//
// Owned by the TrialRunner, on its loop, and outlives the processes. Concurrent trials use different
// ports: each owns a listening socket as a lock, which is released when the process that runs the trial
// ends. The constructor throws std::runtime_error if no ports are free and std::system_error if an address
// cannot be bound.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_TRIAL_ENVIRONMENT_H_
#define LEMONCROFT_TESTING_FAULT_TEST_TRIAL_ENVIRONMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "runtime/socket.h"
#include "testing/fault_test/emulated_control_feed.h"
#include "testing/fault_test/emulated_engine.h"
#include "testing/fault_test/script.h"

namespace lemoncroft::fault_test {

// The name of the fleet that the proxies of a trial form.
inline constexpr const char* kFleetName = "trial";

class TrialEnvironment {
 public:
  // `trial` must outlive this. `folder` exists and belongs to this trial alone.
  TrialEnvironment(runtime::Loop& loop, const Trial& trial, std::string folder);
  // Starts the control feed and the engines.
  void StartServers();

  // Returns the machine whose number follows the first letter of a proxy's name ("n3": 3). Throws
  // ScriptError if there is no such machine.
  std::size_t MachineOf(const std::string& name) const;
  // The folder of the configuration files, logs, store and $TMPDIR of the machine's processes.
  std::string FolderOf(std::size_t machine) const;
  std::string TemporaryFolderOf(std::size_t machine) const { return FolderOf(machine) + "/tmp"; }
  std::string StorePathOf(std::size_t machine) const { return FolderOf(machine) + "/rules.db"; }
  // Writes the machine's config.json and operator.kdl for a proxy of that name.
  void WriteConfiguration(const std::string& name, std::size_t machine);

  // The first of the two gossip ports.
  std::uint16_t gossip_port() const { return port_; }
  // The address at which a proxy listens to its peers. `address_index` is 0 or 1; one process of a machine
  // uses each.
  runtime::Address GossipAddress(std::size_t machine, int address_index) const;
  std::string ClientAddress(std::size_t machine) const;
  // The admin address of the machine's process that follows `earlier_starts` others of the same name.
  std::string AdminAddress(std::size_t machine, int earlier_starts) const;
  // An address on that machine's advertised host from which a sender that is not a proxy can send gossip.
  std::string ForgedSenderAddress(std::size_t machine) const;
  // The clients' listening socket, which all processes of a machine inherit.
  int ClientListener(std::size_t machine) const { return client_listeners_[machine - 1].get(); }

 private:
  void AcquirePorts();
  void CreateServers(runtime::Loop& loop);
  std::uint16_t ClientPort() const;
  std::string ConfigText(const std::string& name, std::size_t machine) const;
  std::string OperatorText(std::size_t machine) const;
  std::string RulesBlock(std::size_t machine) const;

  const Trial& trial_;
  std::string folder_;
  std::uint16_t port_ = 0;
  runtime::Descriptor port_lock_;
  std::vector<runtime::Descriptor> client_listeners_;
  std::vector<std::unique_ptr<EmulatedEngine>> engines_;
  std::unique_ptr<EmulatedControlFeed> feed_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_TRIAL_ENVIRONMENT_H_
