// One call of an operator: a line such as `exclude s-00c41f7a`. No I/O, bounded.
#ifndef LEMONCROFT_MANAGEMENT_CALL_H_
#define LEMONCROFT_MANAGEMENT_CALL_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace lemoncroft::admin {

constexpr std::size_t kMaxLineBytes = 256;  // bytes of a call, its end not counted

enum class Verb { kReadyz, kTelemetry, kExclude, kInclude };

struct Command {
  Verb verb = Verb::kReadyz;
  std::string engine;  // of kExclude and kInclude
};

// Reads a line without its end. What is wrong comes as text that fits on one line, whatever the line held.
std::variant<Command, std::string> ParseCommand(std::string_view line);

// Collects a line as it comes, in pieces of any size.
class LineReader {
 public:
  enum class State { kNeedMore, kLine, kTooLong };
  // Takes bytes up to the first line feed; what follows it is passed over. A carriage return before it is
  // no part of the line.
  State Feed(std::string_view bytes);
  const std::string& line() const { return line_; }

 private:
  std::string line_;
};

}  // namespace lemoncroft::admin

#endif  // LEMONCROFT_MANAGEMENT_CALL_H_
