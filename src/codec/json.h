// Parses JSON into a tree of values with a bounded depth. Used for the configuration and the control feed.
//
// A tree owns all its strings. Looking up a member that is absent or of another kind returns a null value or
// the caller's default. Json::Parse throws JsonError. A tree is not thread-safe.
#ifndef LEMONCROFT_CODEC_JSON_H_
#define LEMONCROFT_CODEC_JSON_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemoncroft::codec {

// A syntax error. what() states the error and its byte offset.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Json {
  enum class Kind { kNull, kBool, kNumber, kString, kArray, kObject };

  Kind kind = Kind::kNull;
  std::string text;                // the characters of a string; the literal of a number or a boolean
  std::vector<Json> items;         // the elements of an array, or the member values of an object, in order
  std::vector<std::string> names;  // the member names of an object, in the same order

  // Throws JsonError if the text isn't exactly one JSON value or is nested too deeply.
  static Json Parse(std::string_view text);

  // Returns the first member called `name`, or a null value if there is none or this is not an object.
  const Json& operator[](std::string_view name) const;
  // Moves the first member called `name` out of the tree and leaves a null value in its place. Returns a null
  // value if there is no such member.
  Json Take(std::string_view name);
  bool Is(Kind k) const { return kind == k; }
  // Returns the value of a number, or `fallback` if this is not a finite number.
  double Number(double fallback = 0) const;
  // Returns the value of a number without its fraction, or `fallback` if this is not a finite number or is
  // too large.
  std::int64_t Integer(std::int64_t fallback = 0) const;
  // Returns true if this is the boolean `true`.
  bool IsTrue() const { return kind == Kind::kBool && text == "true"; }
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_JSON_H_
