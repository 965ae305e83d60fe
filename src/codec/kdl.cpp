#include "codec/kdl.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

#include "codec/kdl_input.h"

namespace lemoncroft::codec {
namespace {

// The quotes that open and close a multi-line string.
constexpr std::u32string_view kMultiLineQuotes = U"\"\"\"";
constexpr int kMaxEscapeDigits = 6;

// The lines of a multi-line string, before its indentation is removed.
struct MultiLineString {
  std::vector<std::string> lines{std::string()};
  std::vector<bool> is_blank{true};  // by line: it has only white space, none of which comes from an escape

  void StartLine() {
    lines.emplace_back();
    is_blank.push_back(true);
  }
};

// Removes digit separators, which may follow any letter or digit.
std::string WithoutUnderscores(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_separator =
        text[i] == '_' && i > 0 && std::isalnum(static_cast<unsigned char>(text[i - 1]));
    if (!is_separator) plain += text[i];
  }
  return plain;
}

int NumberBase(std::string_view digits) {
  const std::string_view prefix = digits.substr(0, 2);
  if (prefix == "0x") return 16;
  if (prefix == "0o") return 8;
  if (prefix == "0b") return 2;
  return 10;
}

bool ParseDecimal(std::string_view digits, double& out) {
  const char* end = digits.data() + digits.size();
  const auto read = std::from_chars(digits.data(), end, out);
  const std::size_t dot = digits.find('.');
  const bool has_digit_behind_dot =
      dot == std::string_view::npos || (dot + 1 < digits.size() && IsKdlDigit(digits[dot + 1]));
  return read.ec == std::errc() && read.ptr == end && has_digit_behind_dot;
}

bool ParseInteger(std::string_view digits, int base, double& out) {
  const char* end = digits.data() + digits.size();
  unsigned long long number = 0;
  const auto read = std::from_chars(digits.data(), end, number, base);
  out = static_cast<double>(number);
  return !digits.empty() && read.ec == std::errc() && read.ptr == end;
}

// A recursive-descent parser. Each Parse function reads one construct of the grammar from the front of the
// input.
class Parser {
 public:
  explicit Parser(std::string_view text) : input_(text) {}

  std::vector<KdlNode> ParseDocument() {
    std::vector<KdlNode> nodes = ParseNodes(0);
    if (input_.Peek() != kKdlEnd) input_.Fail("unmatched '}'");
    return nodes;
  }

 private:
  // ---- Nodes ----

  std::vector<KdlNode> ParseNodes(int depth) {
    if (depth > kMaxKdlDepth) input_.Fail("nested too deeply");
    std::vector<KdlNode> nodes;
    for (;;) {
      while (SkipSpaceAndComments() || input_.SkipNewline() || input_.Skip(U";")) {
      }
      if (input_.Peek() == kKdlEnd || input_.Peek() == '}') return nodes;
      const bool is_commented_out = SkipSlashdash();
      KdlNode node = ParseNode(depth);
      if (!is_commented_out) nodes.push_back(std::move(node));
    }
  }

  KdlNode ParseNode(int depth) {
    if (++node_count_ > kMaxKdlNodes) input_.Fail("too many nodes");
    KdlNode node;
    node.position = input_.position();
    node.type = ParseAnnotation();
    node.name = ParseString("a node name");
    bool has_children = false;
    for (;;) {
      const bool has_space = SkipSpaceAndComments();
      if (SkipNodeEnd()) return node;
      const bool is_commented_out = SkipSlashdash();
      if (input_.Peek() == '{') {
        std::vector<KdlNode> children = ParseChildren(depth);
        if (is_commented_out) continue;
        if (has_children) input_.Fail("a second children block");
        has_children = true;
        node.children = std::move(children);
        continue;
      }
      if (has_children) input_.Fail("an argument or a property after the children block");
      if (!has_space) input_.Fail("missing white space before an argument or a property");
      ParseEntry(node, is_commented_out);
    }
  }

  bool SkipNodeEnd() {
    const char32_t c = input_.Peek();
    return c == kKdlEnd || c == '}' || input_.Skip(U";") || input_.SkipNewline();
  }

  std::vector<KdlNode> ParseChildren(int depth) {
    input_.Next();
    std::vector<KdlNode> children = ParseNodes(depth + 1);
    if (!input_.Skip(U"}")) input_.Fail("unclosed '{'");
    return children;
  }

  // Parses an argument or a property and adds it to `node`, unless a slashdash comments it out.
  void ParseEntry(KdlNode& node, bool is_commented_out) {
    const KdlPosition position = input_.position();
    KdlValue value = ParseValue();
    if (value.kind == KdlValue::Kind::kString && value.type.empty() && SkipEqualsSign()) {
      std::string name = std::move(value.text);
      value = ParseValue();
      if (is_commented_out) return;
      std::erase_if(node.properties, [&name](const auto& p) { return p.first == name; });
      node.properties.emplace_back(std::move(name), std::move(value));
      return;
    }
    value.position = position;
    if (!is_commented_out) node.arguments.push_back(std::move(value));
  }

  // Skips the '=' of a property and the white space around it. Returns false if there is no '='.
  bool SkipEqualsSign() {
    std::size_t ahead = 0;
    while (IsKdlSpace(input_.Peek(ahead))) ++ahead;
    if (input_.Peek(ahead) != '=') return false;
    SkipSpaceAndComments();
    input_.Next();
    SkipSpaceAndComments();
    return true;
  }

  std::string ParseAnnotation() {
    if (input_.Peek() != '(') return {};
    input_.Next();
    SkipSpaceAndComments();
    std::string type = ParseString("a type name");
    SkipSpaceAndComments();
    if (!input_.Skip(U")")) input_.Fail("unclosed '('");
    SkipSpaceAndComments();
    return type;
  }

  // ---- Values ----

  KdlValue ParseValue() {
    KdlValue value;
    value.position = input_.position();
    value.type = ParseAnnotation();
    const char32_t c = input_.Peek();
    const char32_t first_digit = c == '+' || c == '-' ? input_.Peek(1) : c;
    if (c == '#' && input_.Peek(1) != '"' && input_.Peek(1) != '#') {
      ParseKeyword(value);
    } else if (IsKdlDigit(first_digit)) {
      ParseNumber(value);
    } else {
      value.kind = KdlValue::Kind::kString;
      value.text = ParseString("a value");
    }
    return value;
  }

  void ParseKeyword(KdlValue& value) {
    input_.Next();
    const std::string word = ParseWord();
    if (word == "true" || word == "false") {
      value.kind = KdlValue::Kind::kBool;
      value.boolean = word == "true";
    } else if (word == "inf" || word == "-inf" || word == "nan") {
      const double inf = std::numeric_limits<double>::infinity();
      value.kind = KdlValue::Kind::kNumber;
      value.text = "#" + word;
      value.number = word == "nan" ? std::numeric_limits<double>::quiet_NaN() : word == "inf" ? inf : -inf;
    } else if (word != "null") {
      throw KdlError(value.position, "#" + word + " is not a keyword");
    }
  }

  void ParseNumber(KdlValue& value) {
    value.kind = KdlValue::Kind::kNumber;
    value.text = ParseWord();
    const std::string plain = WithoutUnderscores(value.text);
    std::string_view digits = plain;
    const bool is_negative = digits.front() == '-';
    if (is_negative || digits.front() == '+') digits.remove_prefix(1);
    const int base = NumberBase(digits);
    const bool is_valid =
        base == 10 ? ParseDecimal(digits, value.number) : ParseInteger(digits.substr(2), base, value.number);
    if (!is_valid) throw KdlError(value.position, "'" + value.text + "' is not a number");
    if (is_negative) value.number = -value.number;
  }

  // ---- Strings ----

  // Reads a run of identifier characters, which may be empty.
  std::string ParseWord() {
    std::string word;
    while (IsKdlIdentifierCharacter(input_.Peek())) AppendUtf8(word, input_.Next());
    return word;
  }

  // Parses a string of any form. `expected` describes the string in the error if there is none.
  std::string ParseString(const char* expected) {
    const KdlPosition position = input_.position();
    std::size_t hashes = 0;
    while (input_.Peek(hashes) == '#') ++hashes;
    if (input_.Peek(hashes) == '"') {
      for (std::size_t i = 0; i < hashes; ++i) input_.Next();
      return ParseQuoted(hashes);
    }
    std::string word = hashes > 0 ? std::string() : ParseWord();
    if (word.empty()) input_.Fail(std::string("expected ") + expected);
    CheckBareWord(word, position);
    return word;
  }

  // Throws KdlError for a bare word that looks like a number or a keyword.
  static void CheckBareWord(const std::string& word, KdlPosition position) {
    std::string_view start = word;
    if (start.front() == '+' || start.front() == '-') start.remove_prefix(1);
    if (start.size() > 1 && start.front() == '.') start.remove_prefix(1);
    if (!start.empty() && IsKdlDigit(static_cast<unsigned char>(start.front())))
      throw KdlError(position, "'" + word + "' looks like a number: put it in quotes");
    for (const char* keyword : {"true", "false", "null", "inf", "-inf", "nan"}) {
      if (word == keyword)
        throw KdlError(position, word + " is a keyword: write #" + word + ", or put the string in quotes");
    }
  }

  // Parses a quoted string, which is a raw string if it follows one or more number signs.
  std::string ParseQuoted(std::size_t hashes) {
    const KdlPosition position = input_.position();
    if (input_.Peek(1) == '"' && input_.Peek(2) == '"') {
      input_.Skip(kMultiLineQuotes);
      if (!input_.SkipNewline())
        input_.Fail("missing newline after the opening quotes of a multi-line string");
      return ParseMultiLine(hashes, position);
    }
    input_.Next();
    std::string out;
    for (;;) {
      if (SkipClosing(1, hashes)) return out;
      const char32_t c = input_.Peek();
      if (c == kKdlEnd || IsKdlNewline(c)) throw KdlError(position, "unterminated string");
      if (c == '\\' && hashes == 0) {
        ParseEscape(out);
      } else {
        AppendUtf8(out, input_.Next());
      }
    }
  }

  // Skips closing quotes and number signs. Returns false if they don't come next.
  bool SkipClosing(std::size_t quotes, std::size_t hashes) {
    for (std::size_t i = 0; i < quotes + hashes; ++i) {
      if (input_.Peek(i) != (i < quotes ? U'"' : U'#')) return false;
    }
    for (std::size_t i = 0; i < quotes + hashes; ++i) input_.Next();
    return true;
  }

  std::string ParseMultiLine(std::size_t hashes, KdlPosition position) {
    MultiLineString text;
    while (!SkipClosing(kMultiLineQuotes.size(), hashes)) {
      const char32_t c = input_.Peek();
      if (c == kKdlEnd) throw KdlError(position, "unterminated multi-line string");
      if (input_.SkipNewline()) {
        text.StartLine();
      } else if (c == '\\' && hashes == 0) {
        const std::size_t size_before = text.lines.back().size();
        ParseEscape(text.lines.back());
        if (text.lines.back().size() > size_before) text.is_blank.back() = false;
      } else {
        if (!IsKdlSpace(c)) text.is_blank.back() = false;
        AppendUtf8(text.lines.back(), input_.Next());
      }
    }
    return JoinWithoutIndentation(text, position);
  }

  // The white space before the closing quotes is the indentation of every line that is not blank.
  static std::string JoinWithoutIndentation(const MultiLineString& text, KdlPosition position) {
    if (!text.is_blank.back())
      throw KdlError(position, "the closing quotes of a multi-line string must be on a line of their own");
    const std::string& indentation = text.lines.back();
    std::string out;
    for (std::size_t i = 0; i + 1 < text.lines.size(); ++i) {
      if (i > 0) out += '\n';
      if (text.is_blank[i]) continue;
      const std::string& line = text.lines[i];
      if (!line.starts_with(indentation))
        throw KdlError(position, "a line is indented less than the closing quotes of its multi-line string");
      out += line.substr(indentation.size());
    }
    return out;
  }

  void ParseEscape(std::string& out) {
    const KdlPosition position = input_.position();
    input_.Next();
    const char32_t c = input_.Peek();
    if (IsKdlSpace(c) || IsKdlNewline(c)) {
      while (IsKdlSpace(input_.Peek()) || IsKdlNewline(input_.Peek())) input_.Next();
      return;
    }
    input_.Next();
    constexpr std::string_view kEscapeLetters = "nrt\\\"bfs";
    constexpr std::string_view kEscapedCharacters = "\n\r\t\\\"\b\f ";
    const std::size_t known = c < 0x80 ? kEscapeLetters.find(static_cast<char>(c)) : std::string_view::npos;
    if (known != std::string_view::npos) {
      out += kEscapedCharacters[known];
      return;
    }
    if (c != 'u' || !input_.Skip(U"{")) throw KdlError(position, "unknown escape sequence");
    AppendUtf8(out, ParseCodePoint(position));
  }

  // Parses the hexadecimal digits of an escape \u{...} and its closing brace.
  char32_t ParseCodePoint(KdlPosition position) {
    char32_t point = 0;
    int digits = 0;
    bool is_valid = true;
    for (; is_valid && digits <= kMaxEscapeDigits && input_.Peek() != '}' && input_.Peek() < 0x80; ++digits) {
      const auto digit = static_cast<char>(input_.Next());
      int value = 0;
      is_valid = std::from_chars(&digit, &digit + 1, value, 16).ec == std::errc();
      point = point * 16 + static_cast<char32_t>(value);
    }
    const bool is_scalar = point <= 0x10ffff && (point < 0xd800 || point > 0xdfff);
    if (!is_valid || digits < 1 || digits > kMaxEscapeDigits || !is_scalar || !input_.Skip(U"}"))
      throw KdlError(position, "invalid Unicode escape");
    return point;
  }

  // ---- White space and comments ----

  // Skips a slashdash, which comments out the construct after it. Returns false if none comes next.
  bool SkipSlashdash() {
    if (!input_.Skip(U"/-")) return false;
    while (SkipSpaceAndComments() || input_.SkipNewline()) {
    }
    return true;
  }

  // Skips white space, comments and line continuations. Returns true if there were any.
  bool SkipSpaceAndComments() {
    bool any = false;
    for (;; any = true) {
      if (IsKdlSpace(input_.Peek())) {
        input_.Next();
      } else if (input_.Skip(U"//")) {
        input_.SkipRestOfLine();
      } else if (input_.Skip(U"/*")) {
        SkipRestOfComment();
      } else if (input_.Peek() == '\\') {
        SkipLineContinuation();
      } else {
        return any;
      }
    }
  }

  void SkipLineContinuation() {
    input_.Next();
    while (IsKdlSpace(input_.Peek()) || input_.Skip(U"/*")) {
      // Deviation from KDL: white space directly after "/*" is consumed as part of the continuation, so the
      // comment is not recognised.
      if (IsKdlSpace(input_.Peek())) {
        input_.Next();
      } else {
        SkipRestOfComment();
      }
    }
    if (input_.Skip(U"//")) input_.SkipRestOfLine();
    if (!input_.SkipNewline() && input_.Peek() != kKdlEnd)
      input_.Fail("missing newline after a line continuation '\\'");
  }

  // Skips the rest of a block comment after its opening. Block comments nest.
  void SkipRestOfComment() {
    const KdlPosition position = input_.position();
    for (int depth = 1; depth > 0;) {
      if (input_.Skip(U"/*")) {
        ++depth;
      } else if (input_.Skip(U"*/")) {
        --depth;
      } else if (input_.Next() == kKdlEnd) {
        throw KdlError(position, "unterminated comment");
      }
    }
  }

  KdlInput input_;
  std::size_t node_count_ = 0;
};

}  // namespace

KdlError::KdlError(KdlPosition position, const std::string& what)
    : std::runtime_error("line " + std::to_string(position.line) + ", column " +
                         std::to_string(position.column) + ": " + what),
      position_(position) {}

std::vector<KdlNode> ParseKdl(std::string_view text) { return Parser(text).ParseDocument(); }

}  // namespace lemoncroft::codec
