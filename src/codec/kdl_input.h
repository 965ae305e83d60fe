// A KDL document as code points with their positions: the input of the parser in kdl.cpp.
//
// KdlInput performs no I/O. Its constructor validates the complete text, so that the parser sees only valid
// characters. Errors are reported as KdlError with a position.
#ifndef LEMONCROFT_CODEC_KDL_INPUT_H_
#define LEMONCROFT_CODEC_KDL_INPUT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/kdl.h"

namespace lemoncroft::codec {

// Returned by Peek and Next at the end of the document.
inline constexpr char32_t kKdlEnd = 0xffffffff;

// Character classes of the KDL 2.0 specification.
bool IsKdlNewline(char32_t c);
bool IsKdlSpace(char32_t c);
bool IsKdlIdentifierCharacter(char32_t c);
bool IsKdlDigit(char32_t c);

void AppendUtf8(std::string& out, char32_t c);

class KdlInput {
 public:
  // Throws KdlError if the text is too large, is not valid UTF-8 or contains a character that KDL forbids.
  explicit KdlInput(std::string_view text);

  // Returns the character `ahead` characters after the next one, without consuming it.
  char32_t Peek(std::size_t ahead = 0) const;
  // Consumes and returns the next character. At the end of the document the position doesn't change.
  char32_t Next();
  // Skips `text` and returns true if it comes next.
  bool Skip(std::u32string_view text);
  // Skips a newline of one or two characters. Returns false if none comes next.
  bool SkipNewline();
  // Skips all characters up to the end of the line.
  void SkipRestOfLine();
  // The position of the next character.
  KdlPosition position() const;
  // Throws KdlError at the position of the next character.
  [[noreturn]] void Fail(const std::string& what) const { throw KdlError(position(), what); }

 private:
  std::vector<std::pair<char32_t, KdlPosition>> characters_;
  std::size_t next_ = 0;
  KdlPosition end_;
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_KDL_INPUT_H_
