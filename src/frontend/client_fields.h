// The field names and error texts of the client protocol, under the terms that the program uses for them.
//
// Only src/frontend/ depends on these texts. They are sent on the wire, so they must not change. Frame types
// and response codes are in codec/frame.h.
#ifndef LEMONCROFT_FRONTEND_CLIENT_FIELDS_H_
#define LEMONCROFT_FRONTEND_CLIENT_FIELDS_H_

#include <string_view>

namespace lemoncroft::frontend::client_protocol {

// Fields of a request. The statement is the frame's body.
inline constexpr std::string_view kFieldClassName = "verb";
inline constexpr std::string_view kFieldRequestId = "txn";
inline constexpr std::string_view kFieldTenant = "team";
inline constexpr std::string_view kFieldIdempotencyKey = "unique";
inline constexpr std::string_view kFieldOrderingKey = "item";
inline constexpr std::string_view kFieldTimeoutMs = "limit";
inline constexpr std::string_view kFieldEstimatedCpuMs = "cpu";
inline constexpr std::string_view kFieldEstimatedMemoryMb = "heap_mb";
inline constexpr std::string_view kFieldWantsWaitNotices = "foretell";  // any value but an empty one

// Fields of a response to a rejected request.
inline constexpr std::string_view kFieldRetryAfterMs = "later";

// Fields of a wait notice.
inline constexpr std::string_view kFieldExpectedWaitMs = "wait";
inline constexpr std::string_view kFieldMaxWaitMs = "most";

// Bodies of error responses to a request.
inline constexpr std::string_view kErrorMalformedFields = "malformed fields";
inline constexpr std::string_view kErrorUnknownClass = "unknown class";
inline constexpr std::string_view kErrorUnknownTenant = "unknown tenant";
inline constexpr std::string_view kErrorInvalidRequestId = "unusable txn";
inline constexpr std::string_view kErrorInvalidIdempotencyKey = "unusable unique";
inline constexpr std::string_view kErrorInvalidOrderingKey = "unusable item";
inline constexpr std::string_view kErrorMissingStatement = "no statement";
inline constexpr std::string_view kErrorInvalidNumber = "figure unreadable or out of range";
inline constexpr std::string_view kErrorTooManyStreams = "too many open requests";

// Bodies of error responses on stream 0, which belong to no request.
inline constexpr std::string_view kErrorInvalidStream = "stream number in use or 0";
inline constexpr std::string_view kErrorUnknownFrameType = "unknown frame type";
inline constexpr std::string_view kErrorInvalidFrameLength = "frame length out of range";
inline constexpr std::string_view kErrorRequestTimeout = "no whole request in time";
inline constexpr std::string_view kErrorTooMuchUnparsed = "too much that is not whole";

}  // namespace lemoncroft::frontend::client_protocol

#endif  // LEMONCROFT_FRONTEND_CLIENT_FIELDS_H_
