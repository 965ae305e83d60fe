// The documents of versions that a proxy has fetched, and their states: each is delivered to the host for
// validation and, once validated, prepared.
//
// Not thread-safe. Belongs to a ConfigReplica.
#ifndef LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CACHE_H_
#define LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CACHE_H_

#include <map>
#include <set>
#include <string>

#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

class DocumentCache {
 public:
  // Returns null if the document is not stored.
  const std::string* Find(Version version) const {
    const auto it = documents_.find(version);
    return it == documents_.end() ? nullptr : &it->second;
  }
  // Stores a document. Returns true if it must be delivered to the host, which happens once per version.
  [[nodiscard]] bool Store(Version version, const std::string& document) {
    documents_[version] = document;
    return delivered_.insert(version).second;
  }
  void MarkPrepared(Version version) { prepared_.insert(version); }

  bool IsDelivered(Version version) const { return delivered_.contains(version); }
  // Returns true if the host has validated the document of that version, which is still stored.
  bool IsPrepared(Version version) const { return prepared_.contains(version); }

  // Drops all versions before `version`.
  void DropBefore(Version version) {
    std::erase_if(documents_, [&](const auto& document) { return document.first < version; });
    std::erase_if(prepared_, [&](Version v) { return v < version; });
    std::erase_if(delivered_, [&](Version v) { return v < version; });
  }

 private:
  std::map<Version, std::string> documents_;
  std::set<Version> delivered_;
  std::set<Version> prepared_ = {0};  // version 0 has no document
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_DOCUMENT_CACHE_H_
