// The commands and messages of the operators' protocol, under the terms that the program uses for them.
//
// An operator sends one line, such as `telemetry` or `exclude s-00c41f7a`, and gets a line that begins with
// ACK or NAK, followed by the lines of the body, if any. These texts are sent on the wire, so they must not
// change.
#ifndef LEMONCROFT_ADMIN_ADMIN_PROTOCOL_H_
#define LEMONCROFT_ADMIN_ADMIN_PROTOCOL_H_

#include <string_view>

namespace lemoncroft::admin::protocol {

// Commands.
inline constexpr std::string_view kCommandReadiness = "readyz";
inline constexpr std::string_view kCommandMetrics = "telemetry";
inline constexpr std::string_view kCommandEject = "exclude";            // followed by the id of an engine
inline constexpr std::string_view kCommandReturnToService = "include";  // followed by the id of an engine

// First word of a reply.
inline constexpr std::string_view kReplyAccepted = "ACK";
inline constexpr std::string_view kReplyRejected = "NAK";

// Messages of rejected commands.
inline constexpr std::string_view kErrorEmptyCommand = "empty call";
inline constexpr std::string_view kErrorNotPlainText = "a call is plain text";
inline constexpr std::string_view kErrorUnknownCommand =
    "unknown call; there are readyz, telemetry, exclude ID, include ID";
inline constexpr std::string_view kErrorNeedsEngineId =
    " takes the id of one database";                                             // follows the command
inline constexpr std::string_view kErrorTakesNoArgument = " takes no argument";  // follows the command
inline constexpr std::string_view kErrorTimeout = "no whole call in time";
inline constexpr std::string_view kErrorConnectionEnded = "no whole call";
inline constexpr std::string_view kErrorTooLong = "the call is too long";

}  // namespace lemoncroft::admin::protocol

#endif  // LEMONCROFT_ADMIN_ADMIN_PROTOCOL_H_
