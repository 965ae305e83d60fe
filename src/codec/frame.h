// The client protocol's binary frames: length:4 type:1 stream:4 payload, little-endian.
//
// Contract. No I/O and no state but FrameReader's position in its buffer. Readers return views into the bytes
// they were given. Used by the clients' side and by the test programs that play clients; the names of fields
// are in frontend/client_fields.h.
#ifndef LEMONCROFT_CODEC_FRAME_H_
#define LEMONCROFT_CODEC_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemoncroft::codec {

// Bounds of a frame's length field, which counts the type, the stream and the payload.
inline constexpr std::size_t kMinFrameBytes = 5;
inline constexpr std::size_t kMaxFrameBytes = 262'144;

enum FrameType : std::uint8_t {
  // From clients. A payload of a request has fields and a statement, those of the others have nothing.
  kRequestFrame = 65,
  kCancelFrame = 67,  // cancels the request on its stream
  kReadinessRequestFrame = 80,
  // From the proxy. Payloads of responses and notices begin with a ResponseCode.
  kResponseFrame = 66,
  kWaitNoticeFrame = 68,  // to clients that asked for it
  kReadinessResponseFrame = 81,
  kDrainFrame = 90,  // asks for no new request on this connection
};

enum ResponseCode : std::uint8_t { kServedCode = 0, kRejectedCode = 11, kFailedCode = 5 };

struct Frame {
  std::uint8_t type = 0;  // a FrameType, or one that isn't known
  std::uint32_t stream = 0;
  std::string_view payload;  // into the buffer that it was read from
};

// Reads frames off the front of a buffer to which received bytes are appended.
class FrameReader {
 public:
  enum class Result {
    kFrame,
    kNeedMore,
    kBadLength,  // out of bounds: nothing that follows can be read
  };
  // On kFrame, `frame` points into `buffer` until Compact or the buffer's next change.
  Result Next(std::string_view buffer, Frame& frame);
  // Erases the frames that have been read.
  void Compact(std::string& buffer);

 private:
  std::size_t read_bytes_ = 0;
};

// Names and values.
using FieldViews = std::vector<std::pair<std::string_view, std::string_view>>;

struct Fields {
  FieldViews fields;
  std::string_view body;                              // what follows the fields
  std::string_view Get(std::string_view name) const;  // the first of that name; empty if there is none
};

// Reads count:1, then name_size:1 name value_size:2 value for each. Nullopt if the payload ends before that.
std::optional<Fields> ReadFields(std::string_view payload);

// Appends a frame to `out`.
void WriteFrame(std::string& out, std::uint8_t type, std::uint32_t stream, std::string_view payload = {});
// Appends a frame whose payload is code, fields and body.
void WriteResponse(std::string& out, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
                   const FieldViews& fields = {}, std::string_view body = {});

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_FRAME_H_
