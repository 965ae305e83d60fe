#include "gossip/types.h"

#include <algorithm>

namespace lemoncroft::gossip {
namespace {

// In MessagePack, a number takes at most 9 bytes, and the header of a short string or array at most 3.
constexpr std::size_t kMaxNumberBytes = 9, kMaxHeaderBytes = 3;

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

bool IsWithinLimits(const MemberRecord& record) {
  if (record.id == kNoInstance || !record.address) return false;
  if (record.name.empty() || record.name.size() > kMaxNameBytes || !IsPrintable(record.name)) return false;
  if (record.zone.size() > kMaxZoneBytes || !IsPrintable(record.zone)) return false;
  if (record.phase > Phase::kDraining || record.incarnation > kMaxIncarnation) return false;
  if (record.attributes.size() > kMaxAttributes) return false;
  return std::all_of(record.attributes.begin(), record.attributes.end(), [](const Attribute& a) {
    return !a.key.empty() && a.key.size() <= kMaxAttributeKeyBytes &&
           a.value.size() <= kMaxAttributeValueBytes && IsPrintable(a.key);
  });
}

MemberUpdate NonAliveUpdate(Status status, InstanceId id, std::uint64_t incarnation, InstanceId reported_by) {
  MemberUpdate update{status, {}, reported_by};
  update.record.id = id;
  update.record.incarnation = incarnation;
  return update;
}

std::size_t MaxEncodedSize(const MemberRecord& record) {
  std::size_t size = kMaxHeaderBytes + 5 * kMaxNumberBytes + 2 + 2 * kMaxHeaderBytes + record.name.size() +
                     record.zone.size();
  size += kMaxHeaderBytes;
  for (const Attribute& a : record.attributes) size += 2 * kMaxHeaderBytes + a.key.size() + a.value.size();
  return size;
}

std::size_t MaxEncodedSize(const MemberUpdate& update) {
  constexpr std::size_t kMaxStatusBytes = kMaxHeaderBytes + 1 + 3 * kMaxNumberBytes;
  return update.status == Status::kAlive ? kMaxStatusBytes + MaxEncodedSize(update.record) : kMaxStatusBytes;
}

}  // namespace lemoncroft::gossip
