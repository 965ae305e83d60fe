// The checks that a ConfigReplica makes of documents, which are opaque texts to it.
//
// The host supplies the functions. Their results depend only on their arguments and on the proxy's current
// settings.
#ifndef LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CHECKS_H_
#define LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CHECKS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "replicated_config/config_state_machine.h"
#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

// The reason why a document is rejected.
struct DocumentRejection {
  enum class Cause {
    kInvalid,       // it cannot be parsed
    kConflicts,     // it must not follow a version that is still in use
    kIncompatible,  // this proxy cannot apply it
  };
  Cause cause = Cause::kInvalid;
  std::string reason;  // shown to operators; never empty
};

struct DocumentChecks {
  // Checks that a document is valid and may follow the version `from`, which is null for the first document.
  std::function<tl::expected<void, DocumentRejection>(const VersionRecord* from, const std::string& document)>
      check_successor;
  // Checks that this proxy can apply a document.
  std::function<tl::expected<void, DocumentRejection>(const std::string& document)> check_compatible;
  // Returns the format that a program must support to read a document, or 0 for an invalid document.
  std::function<std::uint64_t(const std::string& document)> required_format;
  // Returns the duration for which an isolated proxy may continue to act on a document, or zero for an
  // invalid document.
  std::function<Duration(const std::string& document)> isolation_duration;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CHECKS_H_
