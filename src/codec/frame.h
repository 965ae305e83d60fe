// The client protocol's binary frames: length:4 type:1 stream:4 payload, little-endian.
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

inline constexpr std::size_t kMinFrameBytes = 5, kMaxFrameBytes = 262'144;  // what `length` may say

enum FrameType : std::uint8_t {
  kRequestFrame = 65,
  kAnswerFrame = 66,
  kCancelFrame = 67,
  kEstimateFrame = 68,  // from the proxy: code 0 and fields, to those who asked for it
  kReadyAskFrame = 80,
  kReadyFrame = 81,
  kDrainFrame = 90,
};

enum AnswerCode : std::uint8_t { kServedCode = 0, kRefusedCode = 11, kFailedCode = 5 };

struct Frame {
  std::uint8_t type = 0;
  std::uint32_t stream = 0;
  std::string_view payload;  // into the buffer it was read from
};

// Takes frames off the front of a buffer that grows by what comes in.
class FrameReader {
 public:
  enum class Result { kFrame, kNeedMore, kBadLength };
  // On kFrame, `frame` points into `buffer` until Compact or the buffer's next change.
  Result Next(std::string_view buffer, Frame& frame);
  void Compact(std::string& buffer);  // drops what has been taken

 private:
  std::size_t taken_ = 0;
};

using FieldViews = std::vector<std::pair<std::string_view, std::string_view>>;

struct Fields {
  FieldViews fields;
  std::string_view body;                              // what follows the fields
  std::string_view Get(std::string_view name) const;  // empty where absent
};
// Reads count:1, then size:1 name size:2 value for each; nothing where the payload is too short for that.
std::optional<Fields> ReadFields(std::string_view payload);

// Appends a whole frame; an answer's payload is code, fields and body.
void WriteFrame(std::string& out, std::uint8_t type, std::uint32_t stream, std::string_view payload = {});
void WriteAnswer(std::string& out, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
                 const FieldViews& fields = {}, std::string_view body = {});

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_FRAME_H_
