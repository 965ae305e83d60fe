// Parses JSON into a tree of values, with a bound on the depth. Used for configuration and the control feed.
//
// Contract: a tree owns all its texts. Looking up what is absent, or of another kind, gives a null value or
// the caller's default. Errors: Json::Parse throws JsonError. Thread safety: none.
#ifndef LEMONCROFT_CODEC_JSON_H_
#define LEMONCROFT_CODEC_JSON_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemoncroft::codec {

// What is wrong with a text and at which byte.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Json {
  enum class Kind { kNull, kBool, kNumber, kText, kArray, kObject };

  Kind kind = Kind::kNull;
  std::string text;                // a string's characters; a number or a boolean as it was written
  std::vector<Json> items;         // of an array; the values of an object's members, in order
  std::vector<std::string> names;  // of an object's members, in the same order

  // Throws JsonError if the text isn't exactly one JSON value, or is nested too deeply.
  static Json Parse(std::string_view text);

  // The first member of this name; a null value if there is none or this is no object.
  const Json& operator[](std::string_view name) const;
  // The same, moved out; a null value is left in its place.
  Json Take(std::string_view name);
  bool Is(Kind k) const { return kind == k; }
  // The value of a number; `absent` if this is none.
  double Number(double absent = 0) const;
  // The same without its fraction; `absent` also if it is too large.
  std::int64_t Integer(std::int64_t absent = 0) const;
  bool True() const { return kind == Kind::kBool && text == "true"; }
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_JSON_H_
