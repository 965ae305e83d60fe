// Typed reads of KDL nodes. A fault is recorded and reading goes on, so that all faults of a file are
// reported together.
//
// Contract. Pure functions. Owner of a Faults: the reader of one file. Errors: recorded in Faults; the output
// parameter keeps its value then. Also used for documents of the replicated configuration and for fault
// tests' scripts.
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

// The faults found so far.
class Faults {
 public:
  // A fault of no single key, such as a contradiction.
  void Add(codec::KdlPosition place, std::string message) {
    faults_.push_back({place, "", "", std::move(message)});
  }
  // A fault of a node, or of one of its arguments. The message is complete: it names what it is about.
  void AddAt(const codec::KdlNode& node, std::string message);
  void AddAt(const codec::KdlNode& node, const codec::KdlValue& value, std::string message);
  const std::vector<Fault>& all() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// Each reads a node's one argument into `out`, or records why it can't.
void ReadDuration(const codec::KdlNode& node, admission_queue::Duration min, admission_queue::Duration max,
                  admission_queue::Duration& out, Faults& faults);
void ReadNumber(const codec::KdlNode& node, double min, double max, double& out, Faults& faults);
void ReadCount(const codec::KdlNode& node, double max, std::size_t& out, Faults& faults);
void ReadFlag(const codec::KdlNode& node, bool& out, Faults& faults);
void ReadText(const codec::KdlNode& node, std::string& out, Faults& faults);

// How to read each node of a block, by its key.
using NodeReaders = std::map<std::string, std::function<void(const codec::KdlNode&)>>;
// Reads the nodes of a block. A key without a reader is a fault, and so is one given twice, unless it is in
// `repeatable`.
void ReadBlock(const std::vector<codec::KdlNode>& nodes, const NodeReaders& readers,
               const std::vector<std::string>& repeatable, Faults& faults);

// Parses a number with its unit (us, ms, s, m, h), such as "250ms". Returns false for any other text.
[[nodiscard]] bool ParseDuration(const std::string& text, admission_queue::Duration& out);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_CONFIG_FIELDS_H_
