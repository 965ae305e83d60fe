// Reads MessagePack arrays from peers and files element by element, with limits on sizes and depth.
//
// This file performs no I/O. An element that is missing, has another type or exceeds a limit raises
// msgpack::type_error or msgpack::unpack_error inside UnpackArray, which catches it and returns nullopt.
// Elements after the last one that is read are ignored, so that later versions can append elements. A reader
// refers to the unpacked object and must not outlive it. Callers are the codecs of raft, replicated_config
// and peer_transport. Reference: the MessagePack specification.
#ifndef LEMONCROFT_CODEC_MSGPACK_READER_H_
#define LEMONCROFT_CODEC_MSGPACK_READER_H_

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <new>
#include <optional>
#include <string>
#include <string_view>

namespace lemoncroft::codec {

// Reads the elements of one array in order. Every read throws msgpack::type_error on a mismatch.
class MsgpackReader {
 public:
  explicit MsgpackReader(const msgpack::object& from) {
    if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
    next_ = from.via.array.ptr;
    end_ = next_ + from.via.array.size;
  }
  // The number of elements that have not been read.
  std::size_t left() const { return static_cast<std::size_t>(end_ - next_); }
  // Returns the next element.
  const msgpack::object& Next() {
    if (next_ == end_) throw msgpack::type_error();
    return *next_++;
  }
  // Returns the next element, converted to T.
  template <typename T>
  T Take() {
    return Next().as<T>();
  }
  // Returns the next element, of type bin; its bytes may have any value.
  std::string Bytes() {
    const msgpack::object& element = Next();
    if (element.type != msgpack::type::BIN) throw msgpack::type_error();
    return {element.via.bin.ptr, element.via.bin.size};
  }
  // Returns the next element as a value of an enum whose values are 0 to `last`.
  template <typename T>
  T Enum(T last) {
    const auto value = Take<std::uint8_t>();
    if (value > static_cast<std::uint8_t>(last)) throw msgpack::type_error();
    return static_cast<T>(value);
  }

 private:
  const msgpack::object* next_;
  const msgpack::object* end_;
};

// The largest sizes that are unpacked: `list` limits the elements of an array, `text` the bytes of a str,
// `bytes` the bytes of a bin, and `depth` the nesting.
struct MsgpackLimits {
  std::size_t list = 16384, text = 256, bytes = 0, depth = 8;
};

// Unpacks the array in `bytes` and returns the result of `read`. Returns nullopt if the bytes are malformed,
// exceed `limits` or don't match the elements that `read` expects.
template <typename Read>
auto UnpackArray(std::string_view bytes, const MsgpackLimits& limits, const Read& read)
    -> std::optional<decltype(read(std::declval<MsgpackReader&>()))> {
  try {
    const msgpack::unpack_limit limit(limits.list, 0, limits.text, limits.bytes, 0, limits.depth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    MsgpackReader in(handle.get());
    return read(in);
  } catch (const msgpack::unpack_error&) {
  } catch (const msgpack::type_error&) {
  } catch (const std::bad_alloc&) {
  }
  return std::nullopt;
}

// Packs `bytes` as type bin.
template <typename Packer>
void PackBytes(Packer& to, std::string_view bytes) {
  to.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  to.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_MSGPACK_READER_H_
