// Binary frames of the client protocol: length:4 type:1 stream:4 payload, in little-endian byte order.
//
// This file performs no I/O; the only state is FrameReader's position in its buffer. Readers return views
// into the bytes that they are given. The proxy's client side and the test clients use this file. The field
// names are in frontend/client_fields.h.
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

// Bounds of a frame's length field, which covers the type, the stream and the payload.
inline constexpr std::size_t kMinFrameLength = 5;
inline constexpr std::size_t kMaxFrameLength = 262'144;

enum FrameType : std::uint8_t {
  // Sent by clients. The payload of a request contains fields and a statement; other payloads carry no data.
  kRequestFrame = 65,
  kCancelFrame = 67,  // cancels the request on its stream
  kReadinessRequestFrame = 80,
  // Sent by the proxy. The payload of a response or a notice begins with a ResponseCode.
  kResponseFrame = 66,
  kWaitNoticeFrame = 68,  // sent only to clients that asked for it
  kReadinessResponseFrame = 81,
  kDrainFrame = 90,  // asks the client to send no new request on this connection
};

enum ResponseCode : std::uint8_t { kServedCode = 0, kRejectedCode = 11, kFailedCode = 5 };

struct Frame {
  std::uint8_t type = 0;  // a FrameType or an unknown value
  std::uint32_t stream = 0;
  std::string_view payload;  // refers to the buffer that the frame was read from
};

// Reads frames from the front of a buffer to which received bytes are appended.
class FrameReader {
 public:
  enum class Result {
    kFrame,
    kNeedMore,
    kSkippedFrame,  // the end of a frame that was skipped; `frame` has no payload
    kBadLength,     // the length is out of bounds; the rest of the buffer can't be read
  };
  // Reads the next frame. On kFrame, `frame` refers to `buffer` and is valid until Compact is called or the
  // buffer changes.
  Result Next(std::string_view buffer, Frame& frame);
  // Erases the bytes that have been read from `buffer`.
  void Compact(std::string& buffer);

  // Returns the number of bytes that the frame at the front of a compacted buffer still lacks, or nothing
  // while its length hasn't arrived.
  std::optional<std::size_t> MissingBytes(std::string_view buffer) const;
  // Drops what has arrived of the frame at the front of a compacted buffer, and all that follows of it. Next
  // returns kSkippedFrame once the frame has ended. Returns false, and does nothing, if the frame's type and
  // stream haven't arrived.
  bool SkipFrame(std::string& buffer);
  bool skips_frame() const { return skips_frame_; }

 private:
  // Takes what `buffer` holds of the frame that is skipped.
  Result SkipBytes(std::string_view buffer, Frame& frame);

  std::size_t read_bytes_ = 0;
  bool skips_frame_ = false;
  std::size_t bytes_to_skip_ = 0;
  Frame skipped_frame_;  // without its payload
};

// Field names and their values.
using FieldViews = std::vector<std::pair<std::string_view, std::string_view>>;

struct Fields {
  FieldViews fields;
  std::string_view body;  // the part of the payload after the fields
  // Returns the value of the first field called `name`, or an empty view if there is none.
  std::string_view Get(std::string_view name) const;
};

// Reads count:1, followed by name_size:1 name value_size:2 value for each field. Returns nullopt if the
// payload is truncated.
std::optional<Fields> ReadFields(std::string_view payload);

// Appends a frame to `out`.
void WriteFrame(std::string& out, std::uint8_t type, std::uint32_t stream, std::string_view payload = {});
// Appends a frame whose payload consists of the code, the fields and the body.
void WriteResponse(std::string& out, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
                   const FieldViews& fields = {}, std::string_view body = {});

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_FRAME_H_
