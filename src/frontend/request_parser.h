// Reads and checks the fields of a client's request.
//
// Contract. No I/O and no state; the only clock read is the one that turns a timeout into a deadline. The
// result owns its texts. Called by ClientConnection for each request frame.
#ifndef LEMONCROFT_FRONTEND_REQUEST_PARSER_H_
#define LEMONCROFT_FRONTEND_REQUEST_PARSER_H_

#include <string_view>
#include <tl/expected.hpp>

#include "codec/frame.h"
#include "request/client_request.h"
#include "settings/settings.h"

namespace lemoncroft::frontend {

// The first thing that is wrong with a request.
enum class RequestError {
  kUnknownClass,
  kUnknownTenant,
  kInvalidRequestId,
  kInvalidIdempotencyKey,  // also: missing in a class that needs one
  kInvalidOrderingKey,
  kMissingStatement,
  kInvalidNumber,  // an estimate or a timeout that is not a number or out of proportion
};

// The body of the error response to a request with this error.
std::string_view ErrorText(RequestError error);

// Returns the request in the terms of `settings`, or its first error. Numbers that are absent take their
// defaults: no estimate, and the class's deadline as the timeout.
tl::expected<request::ClientRequest, RequestError> ParseRequest(const codec::Fields& fields,
                                                                const settings::Site& settings);

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_REQUEST_PARSER_H_
