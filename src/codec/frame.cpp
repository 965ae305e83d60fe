#include "codec/frame.h"

namespace lemoncroft::codec {
namespace {

std::uint32_t Little(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = bytes.size(); i > 0; --i)
    value = (value << 8) | static_cast<unsigned char>(bytes[i - 1]);
  return value;
}

void PutLittle(std::string& out, std::size_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

// Takes a text behind its size of `width` bytes off the front.
std::optional<std::string_view> TakeText(std::string_view& from, std::size_t width) {
  if (from.size() < width) return std::nullopt;
  const std::size_t size = Little(from.substr(0, width));
  if (from.size() - width < size) return std::nullopt;
  const std::string_view text = from.substr(width, size);
  from.remove_prefix(width + size);
  return text;
}

}  // namespace

FrameReader::Result FrameReader::Next(std::string_view buffer, Frame& frame) {
  const std::string_view rest = buffer.substr(taken_);
  if (rest.size() < 4) return Result::kNeedMore;
  const std::size_t length = Little(rest.substr(0, 4));
  // Checked before the rest has come, so that no buffer grows for a length that can't be right.
  if (length < kMinFrameBytes || length > kMaxFrameBytes) return Result::kBadLength;
  if (rest.size() < 4 + length) return Result::kNeedMore;
  frame.type = static_cast<std::uint8_t>(rest[4]);
  frame.stream = Little(rest.substr(5, 4));
  frame.payload = rest.substr(9, length - kMinFrameBytes);
  taken_ += 4 + length;
  return Result::kFrame;
}

void FrameReader::Compact(std::string& buffer) {
  buffer.erase(0, taken_);
  taken_ = 0;
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
    const auto name = TakeText(payload, 1);
    if (!name) return std::nullopt;
    const auto value = TakeText(payload, 2);
    if (!value) return std::nullopt;
    out.fields.emplace_back(*name, *value);
  }
  out.body = payload;
  return out;
}

void WriteFrame(std::string& out, std::uint8_t type, std::uint32_t stream, std::string_view payload) {
  PutLittle(out, kMinFrameBytes + payload.size(), 4);
  out.push_back(static_cast<char>(type));
  PutLittle(out, stream, 4);
  out.append(payload);
}

void WriteAnswer(std::string& out, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
                 const FieldViews& fields, std::string_view body) {
  std::string payload(1, static_cast<char>(code));
  payload.push_back(static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    PutLittle(payload, name.size(), 1);
    payload.append(name);
    PutLittle(payload, value.size(), 2);
    payload.append(value);
  }
  payload.append(body);
  WriteFrame(out, type, stream, payload);
}

}  // namespace lemoncroft::codec
