#include "codec/statement.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace lemoncroft::codec {
namespace {

constexpr std::string_view kSchemaWithoutGroup = "staging";

// Returns true for ASCII letters and digits, _, $ and every byte of a non-ASCII character.
bool IsIdentifierCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '$' ||
         static_cast<unsigned char>(c) >= 0x80;
}

// An identifier in a statement.
struct Identifier {
  std::string_view text;      // without quotes
  bool is_qualifier = false;  // a dot follows, as after the name of a schema
};

// Scans the identifiers of a statement and skips strings and comments.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  // Returns the next identifier, bare or quoted, or an identifier with an empty text at the end of the
  // statement.
  Identifier NextIdentifier() {
    while (position_ < text_.size()) {
      const char c = text_[position_];
      if (c == '\'') {
        SkipString();
      } else if (StartsWith("--") || c == '#') {
        SkipTo("\n");
      } else if (StartsWith("/*")) {
        SkipTo("*/");
      } else if (c == '"' || c == '`') {
        return MakeIdentifier(ScanQuoted(c));
      } else if (IsIdentifierCharacter(c)) {
        return MakeIdentifier(ScanWord());
      } else {
        ++position_;
      }
    }
    return {};
  }

 private:
  bool StartsWith(std::string_view token) const { return text_.substr(position_, token.size()) == token; }

  void SkipTo(std::string_view end) {
    const std::size_t found = text_.find(end, position_ + 1);
    position_ = found == std::string_view::npos ? text_.size() : found + end.size();
  }

  // A doubled quote or an escaped quote is part of the string.
  void SkipString() {
    for (++position_; position_ < text_.size(); ++position_) {
      if (text_[position_] == '\\') {
        ++position_;
      } else if (text_[position_] == '\'') {
        if (position_ + 1 >= text_.size() || text_[position_ + 1] != '\'') break;
        ++position_;
      }
    }
    position_ = position_ < text_.size() ? position_ + 1 : text_.size();
  }

  std::string_view ScanQuoted(char quote) {
    const std::size_t start = ++position_;
    const std::size_t end = text_.find(quote, start);
    position_ = end == std::string_view::npos ? text_.size() : end + 1;
    return text_.substr(start, end == std::string_view::npos ? end : end - start);
  }

  std::string_view ScanWord() {
    const std::size_t start = position_;
    while (position_ < text_.size() && IsIdentifierCharacter(text_[position_])) ++position_;
    return text_.substr(start, position_ - start);
  }

  // Makes the identifier that ends at the current position.
  Identifier MakeIdentifier(std::string_view identifier) const {
    const std::size_t next = std::min(text_.find_first_not_of(" \n\t", position_), text_.size());
    return {identifier, next < text_.size() && text_[next] == '.'};
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

// Returns the number in a schema's name of the form NAME_NUMBER, or nullopt if the name has another form or
// NAME is kSchemaWithoutGroup.
std::optional<std::uint32_t> ParseTableGroup(std::string_view schema) {
  const std::size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore == 0) return std::nullopt;
  if (schema.substr(0, underscore) == kSchemaWithoutGroup) return std::nullopt;
  const std::string_view digits = schema.substr(underscore + 1);
  std::uint32_t number = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return number;
}

}  // namespace

std::uint32_t TableGroup(std::string_view statement) {
  Scanner scanner(statement);
  for (Identifier identifier = scanner.NextIdentifier(); !identifier.text.empty();
       identifier = scanner.NextIdentifier()) {
    if (!identifier.is_qualifier) continue;
    if (const auto group = ParseTableGroup(identifier.text)) return *group;
  }
  return 0;
}

}  // namespace lemoncroft::codec
