// A KDL document as code points with their positions: the input of the parser in kdl.cpp.
//
// Contract. No I/O. The constructor checks the whole text, so that the parser sees only valid characters.
// Errors are KdlError with a position.
#ifndef LEMONCROFT_CODEC_KDL_INPUT_H_
#define LEMONCROFT_CODEC_KDL_INPUT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/kdl.h"

namespace lemoncroft::codec {

// What Peek and Next return at the end of the document.
inline constexpr char32_t kKdlEnd = 0xffffffff;

// Character classes of the KDL 2.0 specification.
bool IsKdlNewline(char32_t c);
bool IsKdlSpace(char32_t c);
bool IsKdlIdentifierCharacter(char32_t c);
bool IsKdlDigit(char32_t c);

void AppendUtf8(std::string& out, char32_t c);

class KdlInput {
 public:
  // Throws KdlError if the text is too large, not UTF-8 or has a character that no document may have.
  explicit KdlInput(std::string_view text);

  char32_t Peek(std::size_t ahead = 0) const;
  // Returns the next character and moves on; stays at the end.
  char32_t Next();
  // Moves behind `text` if it stands here.
  bool Skip(std::u32string_view text);
  // Moves behind a newline, of one or two characters, if one stands here.
  bool SkipNewline();
  // Moves up to the end of the line.
  void SkipRestOfLine();
  KdlPosition position() const;
  [[noreturn]] void Fail(const std::string& what) const { throw KdlError(position(), what); }

 private:
  std::vector<std::pair<char32_t, KdlPosition>> characters_;
  std::size_t next_ = 0;
  KdlPosition end_;
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_KDL_INPUT_H_
