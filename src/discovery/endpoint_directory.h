// The endpoint list: the engines that the control feed announces, their addresses and their readiness,
// combined with the manual ejections by operators.
//
// Does no I/O; passes every change of the list to a callback, as the update for the decision module. A manual
// ejection applies to the engine's name, regardless of what the feed announces. Used on the event loop's
// thread. Times in updates are nanoseconds of Unix time (Nanos). Entries of the feed that cannot be used are
// logged and skipped; an engine in an unknown state gets no new requests.
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

// An engine of the endpoint list.
struct Endpoint {
  std::string name;
  std::string host_port;
  runtime::Address address;
  std::string kind, zone;
  EngineEntry advertised;         // as the control feed announces it
  EngineEntry effective;          // `advertised` with the manual ejections applied
  std::uint64_t incarnation = 0;  // changes at each start, return to service and change of address
};

// The result of a manual ejection or return to service.
enum class ManualEjectionResult {
  kDone,
  kUnknownEngine,  // no listed or ejected engine has this name
  kTooMany,        // kMaxEjectedEngines are already ejected
};

class EndpointDirectory {
 public:
  using UpdateCallback = std::function<void(EngineList)>;
  using UnixTime = std::chrono::system_clock::time_point;
  static constexpr std::size_t kMaxEjectedEngines =
      4096;  // the maximum that a replicated configuration can name

  // `site` outlives this object.
  explicit EndpointDirectory(const settings::ActiveSettings& site) : site_(site) {}

  // Applies the events of {"n":LAST,"events":[...]} that are newer than last_revision(), in order, and passes
  // each resulting update to `on_update`. Returns false if the document is not of that form.
  bool Apply(const codec::Json& document, const UpdateCallback& on_update);

  // Publishes all engines again after a change of settings, which may have renumbered kinds and zones.
  void RenumberKindsAndZones(const UpdateCallback& on_update);

  // Ejects an engine manually until it is returned to service. Idempotent.
  ManualEjectionResult Eject(const std::string& name, const UpdateCallback& on_update);
  // Ends a manual ejection. The engine is treated as started at `at`, so that it gets a slow start.
  // Idempotent.
  ManualEjectionResult ReturnToService(const std::string& name, UnixTime at, const UpdateCallback& on_update);
  bool IsEjected(const std::string& name) const { return manually_ejected_.contains(name); }
  // Replaces the manual ejections by those of another process that serves the same clients, or of the
  // replicated configuration. `ejected` is the complete set; `returned_at` contains the times of returns to
  // service.
  void ImportEjections(const std::set<std::string>& ejected,
                       const std::map<std::string, UnixTime>& returned_at, const UpdateCallback& on_update);

  // Returns the endpoint, or null if it is not listed. Valid until the next change of the list.
  const Endpoint* Find(EngineId engine) const;
  // Returns true if the engine is listed, ready and not ejected manually.
  bool MaySend(EngineId engine) const;
  // Returns the number of listed engines that are ejected manually or contained in `outliers`.
  std::size_t CountEjected(const std::vector<EngineId>& outliers) const;
  std::size_t size() const { return endpoints_.size(); }
  // Returns true if a complete list has been applied.
  bool has_complete_list() const { return has_complete_list_; }
  // Returns the revision of the newest event applied.
  std::int64_t last_revision() const { return last_revision_; }
  // Returns the number of stored map entries. Tests use it to check that no data of removed engines is
  // retained.
  std::size_t retained_entries() const {
    return ids_.size() + names_.size() + endpoints_.size() + returned_at_.size();
  }

  // Called when an incarnation of an engine ends and its connections can no longer be used.
  std::function<void(EngineId)> on_incarnation_ended;

 private:
  void ApplyEjections(EngineEntry& entry, const std::string& name) const;
  void PublishEndpoint(const std::string& name, bool returned_to_service, const UpdateCallback& on_update);
  std::optional<EngineList> ApplyEvent(const codec::Json& update);
  std::optional<EngineEntry> ApplyEndpoint(const codec::Json& json);
  void RemoveUnlisted(const std::vector<EngineEntry>& listed);
  EngineId IdOf(const std::string& name);
  // Returns the decision module's number of a zone or machine kind. `what` is for the log.
  std::uint16_t NumberOf(const std::string& name, const std::vector<std::string>& names, const char* what);
  void EndIncarnation(EngineId engine);
  void Remove(EngineId engine);

  const settings::ActiveSettings& site_;
  std::map<std::string, EngineId> ids_;
  std::map<EngineId, std::string> names_;
  std::map<EngineId, Endpoint> endpoints_;
  std::set<std::string> manually_ejected_;               // may contain engines that are not listed
  std::map<std::string, std::uint16_t> unlisted_names_;  // zones and kinds that the settings don't list
  std::map<std::string, Nanos> returned_at_;  // last return to service; may contain unlisted engines
  std::int64_t last_revision_ = 0;
  std::uint64_t last_incarnation_ = 0;
  bool has_complete_list_ = false;
};

}  // namespace lemoncroft::discovery

#endif  // LEMONCROFT_DISCOVERY_ENDPOINT_DIRECTORY_H_
