#include "codec/frame.h"

#include <algorithm>

namespace lemoncroft::codec {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kTypeOffset = kLengthBytes;
constexpr std::size_t kStreamOffset = kTypeOffset + 1;
constexpr std::size_t kStreamBytes = 4;
constexpr std::size_t kPayloadOffset = kStreamOffset + kStreamBytes;
constexpr std::size_t kNameSizeBytes = 1;
constexpr std::size_t kValueSizeBytes = 2;

std::uint32_t ReadLittleEndian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = bytes.size(); i > 0; --i)
    value = (value << 8) | static_cast<unsigned char>(bytes[i - 1]);
  return value;
}

void AppendLittleEndian(std::string& out, std::size_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

// Removes a length-prefixed text, whose prefix has `size_bytes` bytes, from the front of `in`. Returns
// nullopt if `in` is too short.
std::optional<std::string_view> ReadLengthPrefixedText(std::string_view& in, std::size_t size_bytes) {
  if (in.size() < size_bytes) return std::nullopt;
  const std::size_t size = ReadLittleEndian(in.substr(0, size_bytes));
  if (in.size() - size_bytes < size) return std::nullopt;
  const std::string_view text = in.substr(size_bytes, size);
  in.remove_prefix(size_bytes + size);
  return text;
}

void AppendLengthPrefixedText(std::string& out, std::string_view text, std::size_t size_bytes) {
  AppendLittleEndian(out, text.size(), size_bytes);
  out.append(text);
}

}  // namespace

FrameReader::Result FrameReader::Next(std::string_view buffer, Frame& frame) {
  if (skips_frame_) return SkipBytes(buffer, frame);
  const std::string_view rest = buffer.substr(read_bytes_);
  if (rest.size() < kLengthBytes) return Result::kNeedMore;
  const std::size_t length = ReadLittleEndian(rest.substr(0, kLengthBytes));
  // The length is checked before the rest arrives, so that an invalid length can't make the buffer grow.
  if (length < kMinFrameLength || length > kMaxFrameLength) return Result::kBadLength;
  if (rest.size() < kLengthBytes + length) return Result::kNeedMore;
  frame.type = static_cast<std::uint8_t>(rest[kTypeOffset]);
  frame.stream = ReadLittleEndian(rest.substr(kStreamOffset, kStreamBytes));
  frame.payload = rest.substr(kPayloadOffset, length - kMinFrameLength);
  read_bytes_ += kLengthBytes + length;
  return Result::kFrame;
}

void FrameReader::Compact(std::string& buffer) {
  buffer.erase(0, read_bytes_);
  read_bytes_ = 0;
}

std::optional<std::size_t> FrameReader::MissingBytes(std::string_view buffer) const {
  if (skips_frame_) return bytes_to_skip_;
  if (buffer.size() < kLengthBytes) return std::nullopt;
  const std::size_t frame_bytes = kLengthBytes + ReadLittleEndian(buffer.substr(0, kLengthBytes));
  return frame_bytes > buffer.size() ? frame_bytes - buffer.size() : 0;
}

bool FrameReader::SkipFrame(std::string& buffer) {
  if (skips_frame_ || buffer.size() < kPayloadOffset) return false;
  bytes_to_skip_ = *MissingBytes(buffer);
  skips_frame_ = true;
  const std::string_view header(buffer);
  skipped_frame_.type = static_cast<std::uint8_t>(header[kTypeOffset]);
  skipped_frame_.stream = ReadLittleEndian(header.substr(kStreamOffset, kStreamBytes));
  std::string().swap(buffer);
  return true;
}

FrameReader::Result FrameReader::SkipBytes(std::string_view buffer, Frame& frame) {
  const std::size_t bytes = std::min(bytes_to_skip_, buffer.size() - read_bytes_);
  read_bytes_ += bytes;
  bytes_to_skip_ -= bytes;
  if (bytes_to_skip_ > 0) return Result::kNeedMore;
  skips_frame_ = false;
  frame = skipped_frame_;
  return Result::kSkippedFrame;
}

std::string_view Fields::Get(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (field == name) return value;
  }
  return {};
}

std::optional<Fields> ReadFields(std::string_view payload) {
  if (payload.empty()) return std::nullopt;
  Fields out;
  const auto count = static_cast<unsigned char>(payload[0]);
  payload.remove_prefix(1);
  for (int i = 0; i < count; ++i) {
    const auto name = ReadLengthPrefixedText(payload, kNameSizeBytes);
    if (!name) return std::nullopt;
    const auto value = ReadLengthPrefixedText(payload, kValueSizeBytes);
    if (!value) return std::nullopt;
    out.fields.emplace_back(*name, *value);
  }
  out.body = payload;
  return out;
}

void WriteFrame(std::string& out, std::uint8_t type, std::uint32_t stream, std::string_view payload) {
  AppendLittleEndian(out, kMinFrameLength + payload.size(), kLengthBytes);
  out.push_back(static_cast<char>(type));
  AppendLittleEndian(out, stream, kStreamBytes);
  out.append(payload);
}

void WriteResponse(std::string& out, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
                   const FieldViews& fields, std::string_view body) {
  std::string payload(1, static_cast<char>(code));
  payload.push_back(static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    AppendLengthPrefixedText(payload, name, kNameSizeBytes);
    AppendLengthPrefixedText(payload, value, kValueSizeBytes);
  }
  payload.append(body);
  WriteFrame(out, type, stream, payload);
}

}  // namespace lemoncroft::codec
