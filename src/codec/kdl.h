// Parses KDL 2.0, the document language of the operator's file, into a tree of nodes.
//
// The parser supports type annotations; bare, quoted, raw and multi-line strings; numbers in four bases;
// keywords; slashdash and nested comments; and line continuations. This is the complete language, except that
// a block comment within a line continuation must not begin with white space. The text must be UTF-8.
// Every node and value has its position in the text, so that callers can report semantic errors with it.
//
// The parser performs no I/O, keeps no state between calls and reports errors as KdlError. Callers are
// src/operator_config/, src/replicated_config/ and the fault tests. Reference: the KDL 2.0.0 specification.
#ifndef LEMONCROFT_CODEC_KDL_H_
#define LEMONCROFT_CODEC_KDL_H_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemoncroft::codec {

struct KdlPosition {
  int line = 1, column = 1;  // 1-based; a column counts characters
};

// The first error of a document. what() includes the position.
class KdlError : public std::runtime_error {
 public:
  KdlError(KdlPosition position, const std::string& what);
  KdlPosition position() const { return position_; }

 private:
  KdlPosition position_;
};

struct KdlValue {
  enum class Kind { kString, kNumber, kBool, kNull };
  Kind kind = Kind::kNull;
  std::string type;  // the type annotation; empty if there is none
  std::string text;  // the characters of a string, or the literal of a number
  double number = 0;
  bool boolean = false;
  KdlPosition position;
};

struct KdlNode {
  std::string name, type;
  std::vector<KdlValue> arguments;
  std::vector<std::pair<std::string, KdlValue>> properties;  // only the last one of each name
  std::vector<KdlNode> children;
  KdlPosition position;
};

inline constexpr std::size_t kMaxKdlBytes = 1 << 20;
inline constexpr int kMaxKdlDepth = 32;
inline constexpr std::size_t kMaxKdlNodes = 100'000;

// Parses one complete document. Throws KdlError if the text is malformed or exceeds one of the limits above.
std::vector<KdlNode> ParseKdl(std::string_view text);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_KDL_H_
