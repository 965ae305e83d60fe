// The endpoint list: the engines that the control feed announces, where they listen and whether they may be
// sent requests, combined with the ejections that operators made by hand.
//
// Contract. State without I/O; every change of the list is handed to a callback as the update that the
// decision module gets. An operator's ejection holds for the engine's id, whatever the feed announces. Owner:
// the event loop's thread. Units: nanoseconds of Unix time (Nanos). Errors: entries of the feed that can't be
// used are logged and skipped; an unknown state takes no new requests.
#ifndef LEMONCROFT_DISCOVERY_ENDPOINT_DIRECTORY_H_
#define LEMONCROFT_DISCOVERY_ENDPOINT_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "codec/json.h"
#include "lemoncroft/gateway.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace lemoncroft::discovery {

// An engine of the list.
struct Endpoint {
  std::string name;
  std::string host_port;
  runtime::Address address;
  std::string kind, zone;
  EngineEntry advertised;         // as the control feed announces it
  EngineEntry effective;          // the same after the operators' ejections
  std::uint64_t incarnation = 0;  // another one after each start, return to service and change of address
};

// The outcome of an operator's call.
enum class ManualEjectionResult {
  kDone,
  kUnknownEngine,  // no engine has this id, listed or ejected
  kTooMany,        // kMaxEjectedEngines are ejected already
};

class EndpointDirectory {
 public:
  using UpdateCallback = std::function<void(EngineList)>;
  using UnixTime = std::chrono::system_clock::time_point;
  static constexpr std::size_t kMaxEjectedEngines = 4096;  // as many as a replicated configuration can name

  // `site` outlives this object.
  explicit EndpointDirectory(const settings::ActiveSettings& site) : site_(site) {}

  // Applies the events of {"n":LAST,"events":[...]} that are newer than last_event(), in order, and passes
  // each resulting update to `on_update`. Returns false if the document is not of that form.
  bool Apply(const codec::Json& document, const UpdateCallback& on_update);

  // Publishes all engines again after a change of settings, which may number kinds and zones differently.
  void RenumberKindsAndZones(const UpdateCallback& on_update);

  // Ejects an engine by hand until it is returned to service. Idempotent.
  ManualEjectionResult Eject(const std::string& id, const UpdateCallback& on_update);
  // Ends an ejection; the engine counts as started at `at`, so that its slow start begins anew. Idempotent.
  ManualEjectionResult ReturnToService(const std::string& id, UnixTime at, const UpdateCallback& on_update);
  bool IsEjected(const std::string& id) const { return ejected_.contains(id); }
  // Replaces the ejections by those of another process that serves the same clients, or of the replicated
  // configuration: `ejected` is the complete set, `returned` tells when engines came back.
  void ImportEjections(const std::set<std::string>& ejected, const std::map<std::string, UnixTime>& returned,
                       const UpdateCallback& on_update);

  // The endpoint, or null if it is not listed. Valid until the next change of the list.
  const Endpoint* Find(EngineId engine) const;
  // True if the engine is listed, ready and not ejected.
  bool MaySend(EngineId engine) const;
  // The number of listed engines that are ejected by hand or among `avoided`.
  std::size_t CountEjected(const std::vector<EngineId>& avoided) const;
  std::size_t size() const { return endpoints_.size(); }
  // True once a complete list has been applied.
  bool has_complete_list() const { return has_complete_list_; }
  // The revision of the newest event applied.
  std::int64_t last_event() const { return last_event_; }
  // The number of map entries held, to show that nothing is kept of engines that have left.
  std::size_t retained_entries() const {
    return ids_.size() + names_.size() + endpoints_.size() + returned_.size();
  }

  // Called when an incarnation of an engine ends: its connections are of no more use.
  std::function<void(EngineId)> on_incarnation_ended;

 private:
  void ApplyEjections(EngineEntry& entry, const std::string& id) const;
  void PublishEndpoint(const std::string& id, bool returned_to_service, const UpdateCallback& on_update);
  std::optional<EngineList> ApplyEvent(const codec::Json& update);
  std::optional<EngineEntry> ApplyEndpoint(const codec::Json& json);
  void RemoveUnlisted(const std::vector<EngineEntry>& listed);
  EngineId IdOf(const std::string& name);
  // The number under which the decision module knows a zone or machine kind; `what` is for the log.
  std::uint16_t NumberOf(const std::string& name, const std::vector<std::string>& names, const char* what);
  void EndIncarnation(EngineId engine);
  void Remove(EngineId engine);

  const settings::ActiveSettings& site_;
  std::map<std::string, EngineId> ids_;
  std::map<EngineId, std::string> names_;
  std::map<EngineId, Endpoint> endpoints_;
  std::set<std::string> ejected_;                        // by hand; may hold engines that are not listed
  std::map<std::string, std::uint16_t> unlisted_names_;  // zones and kinds that the settings don't list
  std::map<std::string, Nanos> returned_;                // listed engines that were returned to service
  std::int64_t last_event_ = 0;
  std::uint64_t last_incarnation_ = 0;
  bool has_complete_list_ = false;
};

}  // namespace lemoncroft::discovery

#endif  // LEMONCROFT_DISCOVERY_ENDPOINT_DIRECTORY_H_
