#include "admin/call.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lemoncroft::admin {
namespace {

struct Known {
  std::string_view word;
  Verb verb;
  bool names_engine;
};
constexpr Known kCalls[] = {{"readyz", Verb::kReadyz, false},
                            {"telemetry", Verb::kTelemetry, false},
                            {"exclude", Verb::kExclude, true},
                            {"include", Verb::kInclude, true}};

bool Printable(char c) { return c > ' ' && c < 0x7f; }

std::vector<std::string_view> Words(std::string_view line) {
  std::vector<std::string_view> words;
  constexpr std::string_view kBlanks = " \t";
  for (std::size_t at = 0; (at = line.find_first_not_of(kBlanks, at)) != line.npos;) {
    const std::size_t end = std::min(line.find_first_of(kBlanks, at), line.size());
    words.push_back(line.substr(at, end - at));
    at = end;
  }
  return words;
}

}  // namespace

std::variant<Command, std::string> ParseCommand(std::string_view line) {
  const auto words = Words(line);
  if (words.empty()) return "empty call";
  for (const std::string_view word : words) {
    if (!std::all_of(word.begin(), word.end(), Printable)) return "a call is plain text";
  }
  for (const Known& known : kCalls) {
    if (words[0] != known.word) continue;
    const std::string word(known.word);
    if (known.names_engine && words.size() != 2) return word + " takes the id of one database";
    if (!known.names_engine && words.size() != 1) return word + " takes no argument";
    return Command{known.verb, known.names_engine ? std::string(words[1]) : std::string()};
  }
  return "unknown call; there are readyz, telemetry, exclude ID, include ID";
}

LineReader::State LineReader::Feed(std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  const std::string_view part = bytes.substr(0, end);
  if (line_.size() + part.size() > kMaxLineBytes + 1) return State::kTooLong;  // one for a carriage return
  line_.append(part);
  if (end == std::string_view::npos) return State::kNeedMore;
  if (line_.ends_with('\r')) line_.pop_back();
  return line_.size() > kMaxLineBytes ? State::kTooLong : State::kLine;
}

}  // namespace lemoncroft::admin
