// Parses the commands of operators: one line each, such as `exclude s-00c41f7a`.
//
// Without I/O. kMaxLineBytes bounds the memory of a LineReader.
#ifndef LEMONCROFT_ADMIN_COMMAND_H_
#define LEMONCROFT_ADMIN_COMMAND_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace lemoncroft::admin {

constexpr std::size_t kMaxLineBytes = 256;  // without the line ending

enum class CommandType {
  kReadiness,        // asks if the proxy is ready for clients
  kMetrics,          // lists the metrics
  kEject,            // ejects an engine manually
  kReturnToService,  // returns an engine to service
};

struct Command {
  CommandType type = CommandType::kReadiness;
  std::string engine;  // id; for kEject and kReturnToService only
};

// The error in a line that is no valid command.
struct CommandError {
  enum class Kind : std::uint8_t { kEmpty, kNotPlainText, kUnknownCommand, kNeedsEngineId, kTakesNoArgument };
  Kind kind = Kind::kEmpty;
  std::string_view command;  // for kNeedsEngineId and kTakesNoArgument only; a literal
};

// Returns the error as one line of plain text, regardless of the bytes in the line that caused it.
std::string Describe(const CommandError& error);

// Parses a line without its line ending.
tl::expected<Command, CommandError> ParseCommand(std::string_view line);

// Collects a line that arrives in pieces of any size.
class LineReader {
 public:
  enum class State { kNeedMore, kLine, kTooLong };
  // Appends the bytes up to the first line feed and drops those after it. A carriage return before the line
  // feed is not part of the line.
  State Feed(std::string_view bytes);
  const std::string& line() const { return line_; }

 private:
  std::string line_;
};

}  // namespace lemoncroft::admin

#endif  // LEMONCROFT_ADMIN_COMMAND_H_
