// Parses and validates the fields of a client's request.
//
// Stateless and without I/O; reads the clock only to turn a timeout into a deadline. The result owns its
// texts.
#ifndef LEMONCROFT_FRONTEND_REQUEST_PARSER_H_
#define LEMONCROFT_FRONTEND_REQUEST_PARSER_H_

#include <string_view>
#include <tl/expected.hpp>

#include "codec/frame.h"
#include "request/client_request.h"
#include "settings/settings.h"

namespace lemoncroft::frontend {

// The first error found in a request.
enum class RequestError {
  kUnknownClass,
  kUnknownTenant,
  kInvalidRequestId,
  kInvalidIdempotencyKey,  // also if missing in a class that requires one
  kInvalidOrderingKey,
  kMissingStatement,
  kInvalidNumber,  // an estimate or a timeout that is malformed or out of range
};

// The body of the error response to a request with this error.
std::string_view ErrorText(RequestError error);

// Returns the request in the terms of `settings`, or its first error. Numbers that are absent take their
// defaults: no estimate, and the class's client timeout as the timeout.
tl::expected<request::ClientRequest, RequestError> ParseRequest(const codec::Fields& fields,
                                                                const settings::Site& settings);

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_REQUEST_PARSER_H_
