#include "codec/json.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace lemoncroft::codec {
namespace {

constexpr int kMaxDepth = 64;  // of nested objects and arrays
constexpr int kHexBase = 16;
constexpr double kMaxInteger = 9e15;  // a double represents every integer up to this value exactly
constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kNumberCharacters = "+-.eE0123456789";
// The characters of single-character escapes, and the characters that the escapes denote.
constexpr std::string_view kShortEscapes = "\"\\/bfnrt", kEscapedCharacters = "\"\\/\b\f\n\r\t";

// Bounds of the UTF-16 surrogates, and the first code point beyond the Basic Multilingual Plane.
constexpr unsigned kFirstHighSurrogate = 0xd800, kFirstLowSurrogate = 0xdc00, kSurrogatesEnd = 0xe000;
constexpr unsigned kFirstSupplementaryCode = 0x10000;

bool Contains(std::string_view characters, char c) { return characters.find(c) != std::string_view::npos; }

// A recursive-descent parser. Every Parse function begins at the first byte of its production and ends after
// the last one. Errors are thrown as JsonError.
class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {}

  Json ParseDocument() {
    Json value = ParseValue(0);
    SkipWhitespace();
    if (position_ != text_.size()) Fail("bytes after the value");
    return value;
  }

 private:
  [[noreturn]] void Fail(const char* message) const {
    throw JsonError(std::string("JSON: ") + message + " at byte " + std::to_string(position_));
  }

  // Returns the next character, or a zero byte at the end of the text.
  char Peek() const { return position_ < text_.size() ? text_[position_] : '\0'; }

  void SkipWhitespace() {
    while (position_ < text_.size() && Contains(kWhitespace, text_[position_])) ++position_;
  }

  // Skips whitespace, then skips `c` and returns true if it is the next character.
  bool Consume(char c) {
    SkipWhitespace();
    if (Peek() != c) return false;
    ++position_;
    return true;
  }

  Json ParseValue(int depth) {
    if (depth > kMaxDepth) Fail("nested too deeply");
    Json out;
    SkipWhitespace();
    const char c = Peek();
    if (c == '{') {
      ParseObject(out, depth);
    } else if (c == '[') {
      ParseArray(out, depth);
    } else if (c == '"') {
      out.kind = Json::Kind::kString;
      out.text = ParseString();
    } else if (c == '-' || (c >= '0' && c <= '9')) {
      ParseNumber(out);
    } else {
      ParseLiteral(out);
    }
    return out;
  }

  void ParseObject(Json& out, int depth) {
    out.kind = Json::Kind::kObject;
    ++position_;
    if (Consume('}')) return;
    do {
      SkipWhitespace();
      if (Peek() != '"') Fail("a member's name expected");
      out.names.push_back(ParseString());
      if (!Consume(':')) Fail("':' expected");
      out.items.push_back(ParseValue(depth + 1));
    } while (Consume(','));
    if (!Consume('}')) Fail("'}' expected");
  }

  void ParseArray(Json& out, int depth) {
    out.kind = Json::Kind::kArray;
    ++position_;
    if (Consume(']')) return;
    do {
      out.items.push_back(ParseValue(depth + 1));
    } while (Consume(','));
    if (!Consume(']')) Fail("']' expected");
  }

  void ParseNumber(Json& out) {
    const std::size_t start = position_;
    while (position_ < text_.size() && Contains(kNumberCharacters, text_[position_])) ++position_;
    out.kind = Json::Kind::kNumber;
    out.text = text_.substr(start, position_ - start);
    double value = 0;
    auto [end, error] = std::from_chars(out.text.data(), out.text.data() + out.text.size(), value);
    if (error != std::errc() || end != out.text.data() + out.text.size()) Fail("invalid number");
  }

  void ParseLiteral(Json& out) {
    for (const std::string_view word : {"true", "false", "null"}) {
      if (text_.substr(position_, word.size()) != word) continue;
      position_ += word.size();
      out.kind = word == "null" ? Json::Kind::kNull : Json::Kind::kBool;
      if (word != "null") out.text = word;
      return;
    }
    Fail("a value expected");
  }

  unsigned ParseHex4() {
    unsigned value = 0;
    const std::string_view digits = text_.substr(position_, 4);
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexBase);
    if (digits.size() != 4 || error != std::errc() || end != digits.data() + 4)
      Fail("four hex digits expected");
    position_ += 4;
    return value;
  }

  // Parses the rest of an escape after its "u": four hex digits, or the digits of the first of two escapes
  // that form a surrogate pair, and the second escape. Returns the code point.
  unsigned ParseEscapedCode() {
    const unsigned code = ParseHex4();
    const bool is_high = code >= kFirstHighSurrogate && code < kFirstLowSurrogate;
    if (is_high && text_.substr(position_, 2) == "\\u") {
      position_ += 2;
      const unsigned low = ParseHex4();
      if (low < kFirstLowSurrogate || low >= kSurrogatesEnd) Fail("unpaired surrogate");
      return kFirstSupplementaryCode + ((code - kFirstHighSurrogate) << 10) + (low - kFirstLowSurrogate);
    }
    if (code >= kFirstHighSurrogate && code < kSurrogatesEnd) Fail("unpaired surrogate");
    return code;
  }

  static void AppendUtf8(std::string& out, unsigned code) {
    if (code < 0x80) {
      out.push_back(static_cast<char>(code));
      return;
    }
    const int continuation_bytes = code < 0x800 ? 1 : code < 0x10000 ? 2 : 3;
    constexpr unsigned kLeadByte[] = {0, 0xc0, 0xe0, 0xf0};
    out.push_back(static_cast<char>(kLeadByte[continuation_bytes] | (code >> (6 * continuation_bytes))));
    for (int i = continuation_bytes - 1; i >= 0; --i)
      out.push_back(static_cast<char>(0x80 | ((code >> (6 * i)) & 0x3f)));
  }

  void ParseEscape(std::string& out) {
    const char c = Peek();
    ++position_;
    if (const std::size_t i = kShortEscapes.find(c); c != '\0' && i != std::string_view::npos) {
      out.push_back(kEscapedCharacters[i]);
      return;
    }
    if (c != 'u') Fail("unknown escape");
    AppendUtf8(out, ParseEscapedCode());
  }

  std::string ParseString() {
    std::string out;
    for (++position_; Peek() != '"';) {
      if (position_ >= text_.size()) Fail("unterminated string");
      if (static_cast<unsigned char>(Peek()) < 0x20) Fail("unescaped control character in a string");
      if (Peek() == '\\') {
        ++position_;
        ParseEscape(out);
      } else {
        out.push_back(text_[position_++]);
      }
    }
    ++position_;
    return out;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

}  // namespace

Json Json::Parse(std::string_view text) { return Parser(text).ParseDocument(); }

const Json& Json::operator[](std::string_view name) const {
  static const Json kAbsent;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return items[i];
  }
  return kAbsent;
}

Json Json::Take(std::string_view name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return std::exchange(items[i], Json());
  }
  return {};
}

double Json::Number(double fallback) const {
  double value = fallback;
  if (kind == Kind::kNumber) std::from_chars(text.data(), text.data() + text.size(), value);
  return std::isfinite(value) ? value : fallback;
}

std::int64_t Json::Integer(std::int64_t fallback) const {
  const double value = Number(static_cast<double>(fallback));
  return value > -kMaxInteger && value < kMaxInteger ? static_cast<std::int64_t>(value) : fallback;
}

}  // namespace lemoncroft::codec
