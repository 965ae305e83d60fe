// The field names of the control feed's protocol, and the terms that the program uses for them.
#ifndef LEMONCROFT_DISCOVERY_FEED_FIELDS_H_
#define LEMONCROFT_DISCOVERY_FEED_FIELDS_H_

namespace lemoncroft::discovery::feed {

// The prefix of the request path; the revision of the last known event follows.
inline constexpr const char* kEventsPathPrefix = "/v1/events?SUB=";

// A document: {"n":7,"events":[{"n":7,"members":{"complete":true,"members":[{"id":...},...]}}]}.
inline constexpr const char* kRevision = "n";
inline constexpr const char* kEvents = "events";

// An event that updates the endpoint list.
inline constexpr const char* kUpdate = "members";
inline constexpr const char* kIsCompleteList = "complete";
inline constexpr const char* kEndpoints = "members";

// One endpoint.
inline constexpr const char* kName = "id";
inline constexpr const char* kAddress = "host_port";
inline constexpr const char* kState = "phase";
inline constexpr const char* kWeight = "size";
inline constexpr const char* kMachineKind = "flavor";
inline constexpr const char* kZone = "locality";
inline constexpr const char* kCell = "cell";
inline constexpr const char* kStartedAt = "up_since_ms";

// Values of kState. An endpoint with any other value gets no new requests.
inline constexpr const char* kStateReady = "Ready";
inline constexpr const char* kStateRemoved = "Gone";

}  // namespace lemoncroft::discovery::feed

#endif  // LEMONCROFT_DISCOVERY_FEED_FIELDS_H_
