#include "admin/command.h"

#include <algorithm>
#include <vector>

#include "admin/admin_protocol.h"

namespace lemoncroft::admin {
namespace {

using Kind = CommandError::Kind;

enum class Argument { kNone, kEngineId };

struct CommandSpec {
  std::string_view name;
  CommandType type;
  Argument argument;
};

constexpr CommandSpec kCommands[] = {
    {protocol::kCommandReadiness, CommandType::kReadiness, Argument::kNone},
    {protocol::kCommandMetrics, CommandType::kMetrics, Argument::kNone},
    {protocol::kCommandEject, CommandType::kEject, Argument::kEngineId},
    {protocol::kCommandReturnToService, CommandType::kReturnToService, Argument::kEngineId},
};

bool IsPrintable(char c) { return c > ' ' && c < 0x7f; }

bool IsPlainText(std::string_view word) { return std::all_of(word.begin(), word.end(), IsPrintable); }

std::vector<std::string_view> SplitWords(std::string_view line) {
  constexpr std::string_view kBlanks = " \t";
  std::vector<std::string_view> words;
  for (std::size_t at = 0; (at = line.find_first_not_of(kBlanks, at)) != std::string_view::npos;) {
    const std::size_t end = std::min(line.find_first_of(kBlanks, at), line.size());
    words.push_back(line.substr(at, end - at));
    at = end;
  }
  return words;
}

const CommandSpec* FindCommand(std::string_view name) {
  const auto* found = std::find_if(std::begin(kCommands), std::end(kCommands),
                                   [name](const CommandSpec& spec) { return spec.name == name; });
  return found == std::end(kCommands) ? nullptr : found;
}

}  // namespace

std::string Describe(const CommandError& error) {
  switch (error.kind) {
    case Kind::kEmpty:
      return std::string(protocol::kErrorEmptyCommand);
    case Kind::kNotPlainText:
      return std::string(protocol::kErrorNotPlainText);
    case Kind::kUnknownCommand:
      return std::string(protocol::kErrorUnknownCommand);
    case Kind::kNeedsEngineId:
      return std::string(error.command).append(protocol::kErrorNeedsEngineId);
    case Kind::kTakesNoArgument:
      return std::string(error.command).append(protocol::kErrorTakesNoArgument);
  }
  return std::string(protocol::kErrorUnknownCommand);
}

tl::expected<Command, CommandError> ParseCommand(std::string_view line) {
  const std::vector<std::string_view> words = SplitWords(line);
  if (words.empty()) return tl::unexpected(CommandError{Kind::kEmpty, {}});
  if (!std::all_of(words.begin(), words.end(), IsPlainText))
    return tl::unexpected(CommandError{Kind::kNotPlainText, {}});
  const CommandSpec* spec = FindCommand(words[0]);
  if (spec == nullptr) return tl::unexpected(CommandError{Kind::kUnknownCommand, {}});
  if (spec->argument == Argument::kNone) {
    if (words.size() != 1) return tl::unexpected(CommandError{Kind::kTakesNoArgument, spec->name});
    return Command{spec->type, {}};
  }
  if (words.size() != 2) return tl::unexpected(CommandError{Kind::kNeedsEngineId, spec->name});
  return Command{spec->type, std::string(words[1])};
}

LineReader::State LineReader::Feed(std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  const std::string_view part = bytes.substr(0, end);
  if (line_.size() + part.size() > kMaxLineBytes + 1) return State::kTooLong;  // 1 for a carriage return
  line_.append(part);
  if (end == std::string_view::npos) return State::kNeedMore;
  if (line_.ends_with('\r')) line_.pop_back();
  return line_.size() > kMaxLineBytes ? State::kTooLong : State::kLine;
}

}  // namespace lemoncroft::admin
