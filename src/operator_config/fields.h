// Typed reads of KDL nodes that note what is wrong and go on: so that a file's faults are told all at once.
#ifndef LEMONCROFT_OPERATOR_FIELDS_H_
#define LEMONCROFT_OPERATOR_FIELDS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "codec/kdl.h"
#include "operator_config/operator_file.h"

namespace lemoncroft::operator_config {

class Faults {
 public:
  void Add(codec::KdlPosition place, std::string text) { problems_.push_back({place, std::move(text)}); }
  const std::vector<Problem>& all() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

// Each reads a node's one argument into `out`, or notes why it can't.
void ReadSpan(const codec::KdlNode& node, admission_queue::Span least, admission_queue::Span most,
              admission_queue::Span& out, Faults& faults);
void ReadNumber(const codec::KdlNode& node, double least, double most, double& out, Faults& faults);
void ReadCount(const codec::KdlNode& node, double most, std::size_t& out, Faults& faults);
void ReadFlag(const codec::KdlNode& node, bool& out, Faults& faults);
void ReadText(const codec::KdlNode& node, std::string& out, Faults& faults);

// The children of a block by name, each at most once unless it is in `many`; others are faults.
using Known = std::map<std::string, std::function<void(const codec::KdlNode&)>>;
void ReadBlock(const std::vector<codec::KdlNode>& nodes, const Known& known,
               const std::vector<std::string>& many, Faults& faults);

// "250ms", "2s", "5m", "1h": a number with its unit. False where it is none.
bool ParseSpan(const std::string& text, admission_queue::Span& out);

}  // namespace lemoncroft::operator_config

#endif  // LEMONCROFT_OPERATOR_FIELDS_H_
