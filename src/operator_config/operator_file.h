// The operator's file, deploy/operator.kdl: what is switched on beyond the platform's own configuration.
//
// A typed layer over KDL. Everything that is wrong is told at once, each with its line and column: nodes that
// are not known, values of another kind, times without a unit, contradictions. docs/operating-waiting.md and
// docs/operating-peers.md tell what each setting does.
#ifndef LEMONCROFT_OPERATOR_OPERATOR_FILE_H_
#define LEMONCROFT_OPERATOR_OPERATOR_FILE_H_

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

struct Problem {
  codec::KdlPosition place;
  std::string text;
};

// All that is wrong with a file, a line each.
class OperatorError : public std::runtime_error {
 public:
  OperatorError(const std::string& path, const std::vector<Problem>& problems);
};

struct WaitingSettings {
  admission_queue::Settings queue;
  bool tell_clients = false;  // estimates to clients that ask for them
  std::string state;          // the file that `lemoncroft waiting` reads; empty: none is written
};

struct FleetSettings {
  std::string name;                                 // of the fleet
  std::vector<gossip::Endpoint> listen, advertise;  // as many of each
  std::string zone;
  gossip::Settings view;
  std::string state;  // the file that `lemoncroft peers` reads; empty: none is written
  bool operator==(const FleetSettings&) const = default;
};

struct RulesSettings {
  std::vector<std::string> voters;  // the first of the fleet
  std::string store;                // file of a voter; empty: this proxy can't be one
  admission_queue::Span lease = std::chrono::milliseconds(1000), beat = std::chrono::milliseconds(250);
  bool operator==(const RulesSettings&) const = default;
};

struct OperatorFile {
  std::optional<WaitingSettings> waiting;  // none: off
  std::optional<FleetSettings> fleet;      // likewise
  std::optional<RulesSettings> rules;      // likewise
};

// Reads a file's text against the site that it is for. Throws OperatorError.
OperatorFile ReadOperatorFile(const std::string& path, std::string_view text, const settings::Site& site);
OperatorFile LoadOperatorFile(const std::string& path, const settings::Site& site);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_OPERATOR_FILE_H_
