#include "gossip/types.h"

#include <algorithm>

namespace lemoncroft::gossip {
namespace {

// MessagePack: a number takes 9 bytes at the most, a short text or array a header of up to 3.
constexpr std::size_t kNumber = 9, kHeader = 3;

bool Printable(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

bool Fits(const Record& record) {
  if (record.id == kNobody || !record.address) return false;
  if (record.name.empty() || record.name.size() > kNameMost || !Printable(record.name)) return false;
  if (record.zone.size() > kZoneMost || !Printable(record.zone)) return false;
  if (record.phase > Phase::kEnding || record.incarnation > kIncarnationMost) return false;
  if (record.attributes.size() > kAttributesMost) return false;
  return std::all_of(record.attributes.begin(), record.attributes.end(), [](const Attribute& a) {
    return !a.key.empty() && a.key.size() <= kKeyMost && a.value.size() <= kValueMost && Printable(a.key);
  });
}

std::size_t EncodedMost(const Record& record) {
  std::size_t size = kHeader + 5 * kNumber + 2 + 2 * kHeader + record.name.size() + record.zone.size();
  size += kHeader;
  for (const Attribute& a : record.attributes) size += 2 * kHeader + a.key.size() + a.value.size();
  return size;
}

std::size_t EncodedMost(const News& news) {
  constexpr std::size_t kShort = kHeader + 1 + 3 * kNumber;
  return news.status == Status::kAlive ? kShort + EncodedMost(news.record) : kShort;
}

}  // namespace lemoncroft::gossip
