// What a ConfigReplica has to know about documents, which are opaque texts to it: whether one may become
// the next version, and whether this proxy can apply it.
//
// Contract: the owner supplies the functions; they are pure but for the proxy's current settings.
#ifndef LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CHECKS_H_
#define LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CHECKS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "replicated_config/config_state_machine.h"
#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

// Why a document is rejected.
struct DocumentRejection {
  enum class Cause {
    kInvalid,       // it cannot be parsed
    kConflicts,     // it must not follow a version that is still in use
    kIncompatible,  // this proxy cannot apply it
  };
  Cause cause = Cause::kInvalid;
  std::string reason;  // for an operator, never empty
};

struct DocumentChecks {
  // Checks that a document is valid and may follow `from` (null: it is the first).
  std::function<tl::expected<void, DocumentRejection>(const VersionRecord* from, const std::string& document)>
      check_successor;
  // Checks that this proxy can apply a document.
  std::function<tl::expected<void, DocumentRejection>(const std::string& document)> check_compatible;
  // Returns the format that a program must know to read a document; 0 for an invalid one.
  std::function<std::uint64_t(const std::string& document)> required_format;
  // Returns how long an isolated proxy may continue under a document; zero for an invalid one.
  std::function<Duration(const std::string& document)> isolation_duration;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CHECKS_H_
