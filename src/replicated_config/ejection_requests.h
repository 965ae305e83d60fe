// The operators' manual ejections and returns to service that one proxy has accepted, from their acceptance
// until the version that contains them is active.
//
// The requests are proposed to the fleet in the order of their acceptance; at most one proposal is
// outstanding. The state is a plain value: the processes of a proxy share it, and whichever of them learns
// the outcome of the proposal records it. A proposal is recorded before it is sent, so that a successor can
// ask for its outcome by the id of its change instead of proposing the requests a second time.
//
// Does no I/O and reads no clock. Not thread-safe.
#ifndef LEMONCROFT_REPLICATED_CONFIG_EJECTION_REQUESTS_H_
#define LEMONCROFT_REPLICATED_CONFIG_EJECTION_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "replicated_config/config_state_machine.h"
#include "replicated_config/document.h"
#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

// The values are part of the format in which the processes of a proxy share the requests.
enum class EjectionAction : std::uint8_t { kEject, kReturnToService };

// A request that the fleet has not committed yet.
struct EjectionRequest {
  std::string id;  // unique among the processes of the proxy
  std::string engine;
  EjectionAction action = EjectionAction::kEject;
  bool was_ejected = false;  // the engine was ejected at this proxy when the request was accepted
  bool answered = false;     // the operator has been told that the fleet has not agreed yet
  bool operator==(const EjectionRequest&) const = default;
};

// A request that is contained in a committed version.
struct CommittedEjection {
  std::string id, engine;
  EjectionAction action = EjectionAction::kEject;
  Version version = 0;
  bool activated = false;  // the version was active at this proxy
  bool operator==(const CommittedEjection&) const = default;
};

// A change that was or will be sent to the leader and whose outcome is not known yet.
struct EjectionProposal {
  ConfigChange change;
  std::set<std::string> request_ids;  // the pending requests that the change contains
  bool operator==(const EjectionProposal&) const = default;
};

class EjectionRequests {
 public:
  // The committed requests that are kept beyond their activation, for calls that wait for their outcome.
  static constexpr std::size_t kMaxActivated = 64;
  using Filter = std::function<bool(const EjectionRequest&)>;

  // Appends a request. It replaces earlier requests for the same engine that were answered and are not part
  // of the proposal; so at most one answered request for each engine waits behind the proposal.
  void Add(EjectionRequest request);
  void MarkAnswered(const std::string& id);

  // Returns the next requests to propose together, in order: the first one, and others for other engines.
  // Requests for which `may_propose` returns false are left out, and so are later requests for their engines.
  std::vector<EjectionRequest> NextBatch(const Filter& may_propose) const;
  // Records a proposal. Returns false if there is one already, or if one of its requests is not pending.
  bool Begin(EjectionProposal proposal);
  // Record the outcome of the proposal. Have no effect if its change is no longer `change_id`.
  void Commit(const std::string& change_id, Version version);
  void Abandon(const std::string& change_id);
  // Records that the pending requests with these ids are in effect in a version without a proposal. Has no
  // effect on requests that are part of the proposal.
  void Confirm(const std::set<std::string>& ids, Version version);
  // Records that a version is active, and forgets activated requests but for the last kMaxActivated. Returns
  // true if that changed anything.
  bool MarkActivated(Version active_version);

  // Returns the version that contains a request, or nullopt if it is not committed.
  std::optional<Version> CommittedVersion(const std::string& id) const;
  // Returns the engines that must be ejected at this proxy: those of the active document; those of pending
  // requests, and of committed ones whose version has not been active yet. A return to service that is
  // pending leaves the engine as it was.
  std::set<std::string> EjectedEngines(const Document& active) const;

  const std::vector<EjectionRequest>& pending() const { return pending_; }
  const std::optional<EjectionProposal>& proposal() const { return proposal_; }
  const std::vector<CommittedEjection>& committed() const { return committed_; }
  // Returns the state with these parts, as read from a file.
  static EjectionRequests Restore(std::vector<EjectionRequest> pending,
                                  std::optional<EjectionProposal> proposal,
                                  std::vector<CommittedEjection> committed);
  bool operator==(const EjectionRequests&) const = default;

 private:
  bool IsProposed(const EjectionRequest& request) const {
    return proposal_ && proposal_->request_ids.contains(request.id);
  }
  void MoveToCommitted(const std::set<std::string>& ids, Version version);

  std::vector<EjectionRequest> pending_;  // in the order of their acceptance
  std::optional<EjectionProposal> proposal_;
  std::vector<CommittedEjection> committed_;  // in the order of their commitment
};

// Returns the document with the requests applied in order.
Document ApplyRequests(Document document, const std::vector<EjectionRequest>& requests);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_EJECTION_REQUESTS_H_
