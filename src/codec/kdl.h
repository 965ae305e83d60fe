// KDL 2.0, the document language of the operator's file: a bounded, I/O-free reader to a tree of nodes.
//
// Reads the whole language: type annotations, bare, quoted, raw and multi-line strings, numbers in four
// bases, keywords, slashdash and nested comments, line continuations. Text must be UTF-8. Every value keeps
// where it stood, so that what is wrong with it can be shown.
#ifndef LEMONCROFT_CODEC_KDL_H_
#define LEMONCROFT_CODEC_KDL_H_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemoncroft::codec {

struct KdlPlace {
  int line = 1, column = 1;  // from 1; columns count characters
};

class KdlError : public std::runtime_error {
 public:
  KdlError(KdlPlace place, const std::string& what);
  KdlPlace place() const { return place_; }

 private:
  KdlPlace place_;
};

struct KdlValue {
  enum class Kind { kText, kNumber, kBool, kNull };
  Kind kind = Kind::kNull;
  std::string type;  // of the annotation; empty: none
  std::string text;  // of a text; a number as it was written
  double number = 0;
  bool truth = false;
  KdlPlace place;
};

struct KdlNode {
  std::string name, type;
  std::vector<KdlValue> arguments;
  std::vector<std::pair<std::string, KdlValue>> properties;  // of a name given twice the last one
  std::vector<KdlNode> children;
  KdlPlace place;
};

inline constexpr std::size_t kMaxKdlBytes = 1 << 20;
inline constexpr int kMaxKdlDepth = 32;
inline constexpr std::size_t kMaxKdlNodes = 100'000;

// Throws KdlError for anything that is not one whole document, or is too large or nested too deeply.
std::vector<KdlNode> ReadKdl(std::string_view text);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_KDL_H_
