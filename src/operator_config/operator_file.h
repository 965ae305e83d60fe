// The operator's file (deploy/operator.kdl): the optional parts of the proxy, and their settings. It is read
// at startup, at each reload and by subcommands. docs/operating-waiting.md, docs/operating-peers.md and
// docs/operating-rules.md document the settings.
//
// Plain values; the only I/O is to read the file. Times are durations; cores and threads are counts.
// OperatorError reports all faults of a file at once: unknown keys, values of the wrong kind, times without a
// unit, contradictions; if the file is not valid KDL, only the first syntax error.
#ifndef LEMONCROFT_OPERATOR_CONFIG_OPERATOR_FILE_H_
#define LEMONCROFT_OPERATOR_CONFIG_OPERATOR_FILE_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "admission_queue/types.h"
#include "codec/kdl.h"
#include "gossip/settings.h"
#include "settings/settings.h"

namespace lemoncroft::operator_config {

// An error in a file.
struct Fault {
  codec::KdlPosition position;
  std::string key;    // of the node; empty if the fault concerns no single key
  std::string value;  // as written in the file; empty if the fault concerns no single value
  std::string text;   // the complete message
};

// A file that cannot be used. what() has a line for each fault, "PATH:LINE:COLUMN: TEXT".
class OperatorError : public std::runtime_error {
 public:
  OperatorError(const std::string& path, const std::vector<Fault>& faults);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// Block `waiting`.
struct AdmissionQueueSettings {
  admission_queue::Settings queue;
  bool report_estimates = false;  // send estimates to clients that request them
  std::string state_file;         // read by `lemoncroft waiting`; empty: not written
};

// Block `fleet`.
struct FleetSettings {
  std::string name;                            // of the fleet
  std::vector<gossip::PeerAddress> listen;     // the first free one is used
  std::vector<gossip::PeerAddress> advertise;  // the address under which peers reach each of `listen`
  std::string zone;
  gossip::Settings membership;
  std::string state_file;  // read by `lemoncroft peers`; empty: not written
  bool operator==(const FleetSettings&) const = default;
};

// Block `rules`.
struct ReplicatedConfigSettings {
  std::vector<std::string> voters;  // names of the bootstrap voters
  std::string store;                // the file of a voter; empty: this proxy can't be a voter
  admission_queue::Duration lease = std::chrono::milliseconds(1000);
  admission_queue::Duration renewal_interval = std::chrono::milliseconds(250);
  bool operator==(const ReplicatedConfigSettings&) const = default;
};

// A part without a block is disabled.
struct OperatorFile {
  std::optional<AdmissionQueueSettings> admission_queue;
  std::optional<FleetSettings> fleet;
  std::optional<ReplicatedConfigSettings> replicated_config;
};

// Parses the text of a file, which refers to classes and tenants of `site`. `path` is for messages only.
// Throws OperatorError.
OperatorFile ReadOperatorFile(const std::string& path, std::string_view text, const settings::Site& site);
// Reads and parses a file. Throws OperatorError, also for a file that cannot be read.
OperatorFile LoadOperatorFile(const std::string& path, const settings::Site& site);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_OPERATOR_FILE_H_
