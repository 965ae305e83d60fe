#include "codec/statement.h"

#include <charconv>
#include <optional>

namespace lemoncroft::codec {
namespace {

bool IsWord(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '$' ||
         static_cast<unsigned char>(c) >= 0x80;
}

// Walks a statement's tokens; strings and comments are passed over.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  // The next name, bare or quoted; empty at the end. `qualifies` tells whether a dot follows it.
  std::string_view NextName(bool& qualifies) {
    while (at_ < text_.size()) {
      const char c = text_[at_];
      if (c == '\'') {
        SkipString();
      } else if (Ahead("--") || c == '#') {
        SkipTo("\n");
      } else if (Ahead("/*")) {
        SkipTo("*/");
      } else if (c == '"' || c == '`') {
        return Finish(Quoted(c), qualifies);
      } else if (IsWord(c)) {
        return Finish(Word(), qualifies);
      } else {
        ++at_;
      }
    }
    return {};
  }

 private:
  bool Ahead(std::string_view what) const { return text_.substr(at_, what.size()) == what; }

  void SkipTo(std::string_view end) {
    const std::size_t found = text_.find(end, at_ + 1);
    at_ = found == std::string_view::npos ? text_.size() : found + end.size();
  }

  // A doubled quote goes on; so does one behind a backslash.
  void SkipString() {
    for (++at_; at_ < text_.size(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
      } else if (text_[at_] == '\'') {
        if (at_ + 1 >= text_.size() || text_[at_ + 1] != '\'') break;
        ++at_;
      }
    }
    at_ = at_ < text_.size() ? at_ + 1 : text_.size();
  }

  std::string_view Quoted(char quote) {
    const std::size_t from = ++at_;
    const std::size_t end = text_.find(quote, from);
    at_ = end == std::string_view::npos ? text_.size() : end + 1;
    return text_.substr(from, end == std::string_view::npos ? end : end - from);
  }

  std::string_view Word() {
    const std::size_t from = at_;
    while (at_ < text_.size() && IsWord(text_[at_])) ++at_;
    return text_.substr(from, at_ - from);
  }

  std::string_view Finish(std::string_view name, bool& qualifies) {
    std::size_t next = at_;
    while (next < text_.size() && (text_[next] == ' ' || text_[next] == '\n' || text_[next] == '\t')) ++next;
    qualifies = next < text_.size() && text_[next] == '.';
    return name;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

std::optional<std::uint32_t> GroupOf(std::string_view schema) {
  const std::size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore == 0) return std::nullopt;
  if (schema.substr(0, underscore) == "staging") return std::nullopt;
  const std::string_view digits = schema.substr(underscore + 1);
  std::uint32_t number = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return number;
}

}  // namespace

std::uint32_t TableGroup(std::string_view statement) {
  Scanner scanner(statement);
  bool qualifies = false;
  for (std::string_view name = scanner.NextName(qualifies); !name.empty();
       name = scanner.NextName(qualifies)) {
    if (!qualifies) continue;
    if (const auto group = GroupOf(name)) return *group;
  }
  return 0;
}

}  // namespace lemoncroft::codec
