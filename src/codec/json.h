// JSON, as far as configuration and the control feed need it: a bounded parser to a tree of values.
#ifndef LEMONCROFT_CODEC_JSON_H_
#define LEMONCROFT_CODEC_JSON_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemoncroft::codec {

class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Json {
  enum class Kind { kNull, kBool, kNumber, kText, kArray, kObject };

  Kind kind = Kind::kNull;
  std::string text;                // a text's characters; a number or a truth value as it was written
  std::vector<Json> items;         // of an array, or the values of an object's members in their order
  std::vector<std::string> names;  // of these members

  // Throws JsonError for anything that is not one whole JSON value, or is nested too deeply.
  static Json Parse(std::string_view text);

  // Member or, where there is none (or this is no object), a null value.
  const Json& operator[](std::string_view name) const;
  // The same moved out, with a null value left in its place.
  Json Take(std::string_view name);
  bool Is(Kind k) const { return kind == k; }
  double Number(double absent = 0) const;  // of a number; else `absent`
  std::int64_t Integer(std::int64_t absent = 0) const;
  bool True() const { return kind == Kind::kBool && text == "true"; }
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_JSON_H_
