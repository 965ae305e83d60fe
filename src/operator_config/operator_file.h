// The operator's file (deploy/operator.kdl): the optional parts of the proxy, and their settings.
//
// Contract. Plain values; reading is pure but for the file. Times are spans, cores and threads counts.
// Owner: the caller. Errors: OperatorError with all faults of a file at once: unknown keys, values of another
// kind, times without a unit, contradictions. Read at the start, at each reload and by sub-commands.
// docs/operating-waiting.md, docs/operating-peers.md and docs/operating-rules.md have the settings.
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

// One thing that is wrong with a file.
struct Fault {
  codec::KdlPosition place;
  std::string key;    // of the node; empty: no single one
  std::string value;  // as it was written; empty: no single one
  std::string text;   // the complete message
};

// A file that can't be used. what(): a line for each fault, "PATH:LINE:COLUMN: TEXT".
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
  bool report_estimates = false;  // estimates to clients that ask for them
  std::string state_file;         // the file that `lemoncroft waiting` reads; empty: none is written
};

// Block `fleet`.
struct FleetSettings {
  std::string name;                            // of the fleet
  std::vector<gossip::PeerAddress> listen;     // the first that is free is used
  std::vector<gossip::PeerAddress> advertise;  // how peers reach each of `listen`
  std::string zone;
  gossip::Settings membership;
  std::string state_file;  // the file that `lemoncroft peers` reads; empty: none is written
  bool operator==(const FleetSettings&) const = default;
};

// Block `rules`.
struct ReplicatedConfigSettings {
  std::vector<std::string> voters;  // names of the bootstrap voters
  std::string store;                // file of a voter; empty: this proxy can't be one
  admission_queue::Duration lease = std::chrono::milliseconds(1000);
  admission_queue::Duration renewal_interval = std::chrono::milliseconds(250);
  bool operator==(const ReplicatedConfigSettings&) const = default;
};

// Parts without a block are off.
struct OperatorFile {
  std::optional<AdmissionQueueSettings> admission_queue;
  std::optional<FleetSettings> fleet;
  std::optional<ReplicatedConfigSettings> replicated_config;
};

// Reads a file's text for the site whose classes and tenants it names; `path` is for messages only. Throws
// OperatorError.
OperatorFile ReadOperatorFile(const std::string& path, std::string_view text, const settings::Site& site);
// Throws OperatorError, also for a file that can't be read.
OperatorFile LoadOperatorFile(const std::string& path, const settings::Site& site);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_OPERATOR_FILE_H_
