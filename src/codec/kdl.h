// KDL 2.0, the document language of the operator's file: a bounded parser to a tree of nodes.
//
// Reads the whole language: type annotations, bare, quoted, raw and multi-line strings, numbers in four
// bases, keywords, slashdash and nested comments, line continuations. Text must be UTF-8. Every value keeps
// its position, so that errors in its meaning can be reported with it.
//
// Contract. No I/O and no state. Errors: KdlError. Called by src/operator_config/ and the fault tests.
// Source: the KDL 2.0.0 specification.
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
  int line = 1, column = 1;  // from 1; columns count characters
};

// The first error of a document. what() has the position too.
class KdlError : public std::runtime_error {
 public:
  KdlError(KdlPosition position, const std::string& what);
  KdlPosition position() const { return position_; }

 private:
  KdlPosition position_;
};

struct KdlValue {
  enum class Kind { kText, kNumber, kBool, kNull };
  Kind kind = Kind::kNull;
  std::string type;  // of the annotation; empty: none
  std::string text;  // of a text; a number as it was written
  double number = 0;
  bool boolean = false;
  KdlPosition place;
};

struct KdlNode {
  std::string name, type;
  std::vector<KdlValue> arguments;
  std::vector<std::pair<std::string, KdlValue>> properties;  // of a name given twice the last one
  std::vector<KdlNode> children;
  KdlPosition place;
};

inline constexpr std::size_t kMaxKdlBytes = 1 << 20;
inline constexpr int kMaxKdlDepth = 32;
inline constexpr std::size_t kMaxKdlNodes = 100'000;

// Parses one complete document. Throws KdlError for anything else and beyond the limits above.
std::vector<KdlNode> ReadKdl(std::string_view text);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_KDL_H_
