// Typed access to KDL nodes. A fault is recorded and parsing continues, so that all faults of a file are
// reported together. Also used for documents of the replicated configuration and for the scripts of the fault
// test.
//
// Pure functions, apart from recording faults. The Read functions leave `out` unchanged on a fault.
#ifndef LEMONCROFT_OPERATOR_CONFIG_FIELDS_H_
#define LEMONCROFT_OPERATOR_CONFIG_FIELDS_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "codec/kdl.h"
#include "operator_config/operator_file.h"

namespace lemoncroft::operator_config {

// The faults found so far in one file.
class Faults {
 public:
  // Adds a fault that concerns no single key, such as a contradiction.
  void Add(codec::KdlPosition position, std::string message) {
    faults_.push_back({position, "", "", std::move(message)});
  }
  // Adds a fault of a node, or of one of its arguments. The message must identify the node or argument
  // itself.
  void AddAt(const codec::KdlNode& node, std::string message);
  void AddAt(const codec::KdlNode& node, const codec::KdlValue& value, std::string message);
  const std::vector<Fault>& all() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// Each function reads the only argument of a node into `out`, or records a fault.
void ReadDuration(const codec::KdlNode& node, admission_queue::Duration min, admission_queue::Duration max,
                  admission_queue::Duration& out, Faults& faults);
void ReadNumber(const codec::KdlNode& node, double min, double max, double& out, Faults& faults);
void ReadCount(const codec::KdlNode& node, double max, std::size_t& out, Faults& faults);
void ReadFlag(const codec::KdlNode& node, bool& out, Faults& faults);
void ReadText(const codec::KdlNode& node, std::string& out, Faults& faults);

// The functions that read the nodes of a block, by key.
using NodeReaders = std::map<std::string, std::function<void(const codec::KdlNode&)>>;
// Reads the nodes of a block. A key without a reader is a fault, and so is a repeated key that is not in
// `repeatable`.
void ReadBlock(const std::vector<codec::KdlNode>& nodes, const NodeReaders& readers,
               const std::vector<std::string>& repeatable, Faults& faults);

// Parses a number with its unit (us, ms, s, m, h), such as "250ms". Returns false for any other text; `out`
// is then unspecified.
[[nodiscard]] bool ParseDuration(const std::string& text, admission_queue::Duration& out);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_FIELDS_H_
