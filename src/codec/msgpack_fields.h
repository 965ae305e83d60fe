// Encodes and decodes plain structs by a single list of their fields: a function `VisitFields(visitor,
// value)` lists the members of a struct, and the visitors in this file count, pack and read them.
//
// Errors and limits are those of msgpack_reader.h. An enum needs a function `LastOf(E)`, found by
// argument-dependent lookup, that returns its last value. Texts are packed as type bin. A visitor that
// supports more member types derives from one of these visitors and imports the base's overloads with
// `using`.
#ifndef LEMONCROFT_CODEC_MSGPACK_FIELDS_H_
#define LEMONCROFT_CODEC_MSGPACK_FIELDS_H_

#include <concepts>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "codec/msgpack_reader.h"

namespace lemoncroft::codec {

using MsgpackPacker = msgpack::packer<msgpack::sbuffer>;

// Counts the fields, which gives the size of the struct's array.
struct FieldCounter {
  std::uint32_t count = 0;
  template <typename T>
  void operator()(const T&) {
    ++count;
  }
};

// Packs each field as one element.
struct FieldPacker {
  MsgpackPacker& to;
  template <std::integral T>
  void operator()(T value) {
    to.pack(value);
  }
  template <typename E>
  requires std::is_enum_v<E>
  void operator()(E value) { to.pack(static_cast<std::uint8_t>(value)); }
  void operator()(const std::string& text) { PackBytes(to, text); }
  void operator()(const std::vector<std::string>& names) {
    to.pack_array(static_cast<std::uint32_t>(names.size()));
    for (const std::string& name : names) PackBytes(to, name);
  }
};

// Reads each field from one element. Throws msgpack::type_error on a mismatch.
struct FieldReader {
  MsgpackReader& in;
  template <std::integral T>
  void operator()(T& value) {
    value = in.Take<T>();
  }
  template <typename E>
  requires std::is_enum_v<E>
  void operator()(E& value) { value = in.Enum(LastOf(value)); }
  void operator()(std::string& text) { text = in.Bytes(); }
  void operator()(std::vector<std::string>& names) {
    MsgpackReader elements(in.Next());
    while (elements.left() > 0) names.push_back(elements.Bytes());
  }
};

// Reads the variant alternative that has number `index` on the wire. The numbers of alternatives are part of
// the format and are never reused. Throws msgpack::type_error for an unknown number.
template <typename Reader, typename Variant, std::size_t I = 0>
Variant ReadAlternative(std::size_t index, MsgpackReader& in) {
  if constexpr (I == std::variant_size_v<Variant>) {
    throw msgpack::type_error();
  } else {
    if (index != I) return ReadAlternative<Reader, Variant, I + 1>(index, in);
    std::variant_alternative_t<I, Variant> value;
    Reader reader{{in}};
    VisitFields(reader, value);
    return value;
  }
}

// Constrains a `VisitFields` function to the struct E. The value is const when it is packed.
template <typename T, typename E>
concept MaybeConst = std::is_same_v<std::remove_const_t<T>, E>;

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_MSGPACK_FIELDS_H_
