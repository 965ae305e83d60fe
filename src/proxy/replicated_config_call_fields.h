// The calls about the replicated configuration that `lemoncroft rules` makes to a proxy over the peer
// transport: JSON objects, and the terms that the program uses for their members.
#ifndef LEMONCROFT_PROXY_REPLICATED_CONFIG_CALL_FIELDS_H_
#define LEMONCROFT_PROXY_REPLICATED_CONFIG_CALL_FIELDS_H_

namespace lemoncroft::proxy::calls {

// A call: {"call":"propose","from":3,"text":"...","by":"...","patience_ms":2000}.
inline constexpr const char* kCall = "call";
inline constexpr const char* kRequestId = "id";
inline constexpr const char* kTimeoutMs = "patience_ms";
inline constexpr const char* kBaseVersion = "from";
inline constexpr const char* kDocument = "text";
inline constexpr const char* kAuthor = "by";
inline constexpr const char* kVoterChange = "way";  // of a voter: kAddVoter, or another value to remove it
inline constexpr const char* kVoterName = "who";
inline constexpr const char* kVersion = "version";
inline constexpr const char* kForwarded = "forwarded";  // by another proxy, which is not a voter

// Values of kCall.
inline constexpr const char* kGetStatus = "status";
inline constexpr const char* kGetHistory = "history";
inline constexpr const char* kGetDocument = "text";
inline constexpr const char* kReadCommitted = "read";
inline constexpr const char* kPropose = "propose";
inline constexpr const char* kChangeVoters = "voters";

// Values of kVoterChange.
inline constexpr const char* kAddVoter = "in";

// Responses. One with kError has nothing else.
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
