// The members of the calls about the replicated configuration that `lemoncroft rules` makes to a proxy over
// the peer transport. Calls and responses are JSON objects.
#ifndef LEMONCROFT_PROXY_REPLICATED_CONFIG_CALL_FIELDS_H_
#define LEMONCROFT_PROXY_REPLICATED_CONFIG_CALL_FIELDS_H_

namespace lemoncroft::proxy::calls {

// A call looks like this: {"call":"propose","from":3,"text":"...","by":"...","patience_ms":2000}.
inline constexpr const char* kCall = "call";
inline constexpr const char* kRequestId = "id";
inline constexpr const char* kTimeoutMs = "patience_ms";
inline constexpr const char* kBaseVersion = "from";
inline constexpr const char* kDocument = "text";
inline constexpr const char* kAuthor = "by";
inline constexpr const char* kVoterChange = "way";  // kAddVoter adds the voter, any other value removes it
inline constexpr const char* kVoterName = "who";
inline constexpr const char* kVersion = "version";
inline constexpr const char* kForwarded = "forwarded";  // set by a proxy that forwards the call to a voter

// Values of kCall.
inline constexpr const char* kGetStatus = "status";
inline constexpr const char* kGetHistory = "history";
inline constexpr const char* kGetDocument = "text";
inline constexpr const char* kReadCommitted = "read";
inline constexpr const char* kPropose = "propose";
inline constexpr const char* kChangeVoters = "voters";

// Values of kVoterChange.
inline constexpr const char* kAddVoter = "in";

// Members of responses. A response with kError has no other member.
inline constexpr const char* kError = "error";
inline constexpr const char* kOutcome = "verdict";  // replicated_config::NameOf(ChangeStatus)
inline constexpr const char* kReason = "why";
inline constexpr const char* kLatestVersion = "newest";
inline constexpr const char* kActiveVersion = "in_force";
inline constexpr const char* kVoters = "voters";

// Values of kOutcome.
inline constexpr const char* kCommitted = "taken";
inline constexpr const char* kConflict = "conflict";
inline constexpr const char* kRejected = "refused";

}  // namespace lemoncroft::proxy::calls

#endif  // LEMONCROFT_PROXY_REPLICATED_CONFIG_CALL_FIELDS_H_
