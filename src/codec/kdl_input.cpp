#include "codec/kdl_input.h"

namespace lemoncroft::codec {
namespace {

constexpr char32_t kByteOrderMark = 0xfeff;
constexpr std::size_t kByteOrderMarkBytes = 3;

// Returns true for code points that KDL forbids: control characters, surrogates, bidirectional controls, and
// byte order marks after the first character.
bool IsForbidden(char32_t c) {
  return c <= 0x08 || (c >= 0x0e && c <= 0x1f) || c == 0x7f || (c >= 0xd800 && c <= 0xdfff) ||
         (c >= 0x200e && c <= 0x200f) || (c >= 0x202a && c <= 0x202e) || (c >= 0x2066 && c <= 0x2069) ||
         c == kByteOrderMark;
}

[[noreturn]] void FailNotUtf8(KdlPosition position) { throw KdlError(position, "invalid UTF-8"); }

// Returns the number of bytes that follow the first byte of a character.
std::size_t ContinuationBytes(unsigned char first, KdlPosition position) {
  if (first < 0x80) return 0;
  if (first >> 5 == 6) return 1;
  if (first >> 4 == 14) return 2;
  if (first >> 3 == 30) return 3;
  FailNotUtf8(position);
}

// Decodes the character at `offset` and advances `offset` past it.
char32_t DecodeUtf8(std::string_view text, std::size_t& offset, KdlPosition position) {
  // The smallest character by number of continuation bytes; smaller characters are overlong encodings.
  constexpr char32_t kMinCharacter[] = {0, 0x80, 0x800, 0x10000};
  const auto first = static_cast<unsigned char>(text[offset]);
  const std::size_t more = ContinuationBytes(first, position);
  if (offset + more >= text.size()) FailNotUtf8(position);
  char32_t c = more == 0 ? first : first & (0x3f >> more);
  for (std::size_t n = 1; n <= more; ++n) {
    const auto next = static_cast<unsigned char>(text[offset + n]);
    if (next >> 6 != 2) FailNotUtf8(position);
    c = (c << 6) | (next & 0x3f);
  }
  if (c < kMinCharacter[more] || c > 0x10ffff) FailNotUtf8(position);
  offset += more + 1;
  return c;
}

}  // namespace

bool IsKdlNewline(char32_t c) {
  return c == '\r' || c == '\n' || c == 0x85 || c == 0x0b || c == 0x0c || c == 0x2028 || c == 0x2029;
}

bool IsKdlSpace(char32_t c) {
  return c == ' ' || c == '\t' || c == 0xa0 || c == 0x1680 || (c >= 0x2000 && c <= 0x200a) || c == 0x202f ||
         c == 0x205f || c == 0x3000;
}

bool IsKdlIdentifierCharacter(char32_t c) {
  if (c == kKdlEnd || IsKdlNewline(c) || IsKdlSpace(c)) return false;
  return c > 0x7f || std::string_view("\\/(){}[];\"#=").find(static_cast<char>(c)) == std::string_view::npos;
}

bool IsKdlDigit(char32_t c) { return c >= '0' && c <= '9'; }

void AppendUtf8(std::string& out, char32_t c) {
  const auto append_continuation = [&out, c](int shift) {
    out += static_cast<char>(0x80 | ((c >> shift) & 0x3f));
  };
  if (c < 0x80) {
    out += static_cast<char>(c);
  } else if (c < 0x800) {
    out += static_cast<char>(0xc0 | (c >> 6));
    append_continuation(0);
  } else if (c < 0x10000) {
    out += static_cast<char>(0xe0 | (c >> 12));
    append_continuation(6);
    append_continuation(0);
  } else {
    out += static_cast<char>(0xf0 | (c >> 18));
    append_continuation(12);
    append_continuation(6);
    append_continuation(0);
  }
}

KdlInput::KdlInput(std::string_view text) {
  if (text.size() > kMaxKdlBytes) throw KdlError(KdlPosition(), "the document is too large");
  characters_.reserve(text.size());
  KdlPosition position;
  for (std::size_t offset = 0; offset < text.size();) {
    const char32_t c = DecodeUtf8(text, offset, position);
    if (c == kByteOrderMark && characters_.empty() && offset == kByteOrderMarkBytes) continue;
    if (IsForbidden(c)) throw KdlError(position, "a character that KDL forbids");
    characters_.push_back({c, position});
    const bool is_first_of_crlf = c == '\r' && offset < text.size() && text[offset] == '\n';
    if (IsKdlNewline(c) && !is_first_of_crlf) {
      ++position.line;
      position.column = 1;
    } else {
      ++position.column;
    }
  }
  end_ = position;
}

char32_t KdlInput::Peek(std::size_t ahead) const {
  return next_ + ahead < characters_.size() ? characters_[next_ + ahead].first : kKdlEnd;
}

char32_t KdlInput::Next() {
  const char32_t c = Peek();
  if (c != kKdlEnd) ++next_;
  return c;
}

bool KdlInput::Skip(std::u32string_view text) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (Peek(i) != text[i]) return false;
  }
  next_ += text.size();
  return true;
}

bool KdlInput::SkipNewline() {
  if (!IsKdlNewline(Peek())) return false;
  if (Next() == '\r' && Peek() == '\n') Next();
  return true;
}

void KdlInput::SkipRestOfLine() {
  while (Peek() != kKdlEnd && !IsKdlNewline(Peek())) Next();
}

KdlPosition KdlInput::position() const {
  return next_ < characters_.size() ? characters_[next_].second : end_;
}

}  // namespace lemoncroft::codec
