// Commands of operators: one line each, such as `exclude s-00c41f7a`.
//
// Contract. No I/O; memory is bounded by kMaxLineBytes. Errors: CommandError, LineReader::State::kTooLong.
// Called by Listener.
#ifndef LEMONCROFT_ADMIN_COMMAND_H_
#define LEMONCROFT_ADMIN_COMMAND_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace lemoncroft::admin {

constexpr std::size_t kMaxLineBytes = 256;  // without the line's end

enum class Verb {
  kReadyz,     // is the proxy ready for clients?
  kTelemetry,  // lists the metrics
  kExclude,    // ejects an engine manually
  kInclude,    // returns it to service
};

struct Command {
  Verb verb = Verb::kReadyz;
  std::string engine;  // of kExclude and kInclude
};

// What is wrong with a line.
struct CommandError {
  enum class Kind : std::uint8_t { kEmpty, kNotPlainText, kUnknownCommand, kNeedsEngineId, kTakesNoArgument };
  Kind kind = Kind::kEmpty;
  std::string_view command;  // of kNeedsEngineId and kTakesNoArgument; a literal
};

// The error as one line of plain text, whatever the command's line held.
std::string Describe(const CommandError& error);

// Parses a line without its end.
tl::expected<Command, CommandError> ParseCommand(std::string_view line);

// Collects a line that arrives in pieces of any size.
class LineReader {
 public:
  enum class State { kNeedMore, kLine, kTooLong };
  // Takes bytes up to the first line feed and drops what follows it. A carriage return before it is no part
  // of the line.
  State Feed(std::string_view bytes);
  const std::string& line() const { return line_; }

 private:
  std::string line_;
};

}  // namespace lemoncroft::admin

#endif  // LEMONCROFT_ADMIN_COMMAND_H_
