// Dissemination in MembershipView: datagrams with piggybacked updates, and the choice of their receivers.
#include <algorithm>
#include <cmath>
#include <utility>

#include "gossip/membership_view.h"

namespace lemoncroft::gossip {
namespace {

constexpr std::size_t kDatagramOverheadBytes = 48;  // without the sender and the updates

}  // namespace

// Tries a recent contact first, so that at least one datagram is likely to arrive even if this proxy can
// reach only a few members.
std::vector<InstanceId> MembershipView::PickMembers(std::size_t count, InstanceId except) {
  std::vector<InstanceId> picked;
  const auto take = [&](InstanceId id) {
    const Member* member = members_.Find(id);
    if (id == except || member == nullptr || !member->is_live()) return;
    if (std::find(picked.begin(), picked.end(), id) == picked.end()) picked.push_back(id);
  };
  if (!recent_contacts_.empty()) take(recent_contacts_[RandomBelow(recent_contacts_.size())]);
  const std::vector<InstanceId>& others = members_.others();
  for (std::size_t tries = 0; picked.size() < count && tries < 4 * count && !others.empty(); ++tries)
    take(others[RandomBelow(others.size())]);
  return picked;
}

std::optional<MemberUpdate> MembershipView::StatusUpdateOf(InstanceId id) const {
  const Member* member = members_.Find(id);
  if (member == nullptr || member->status == Status::kAlive) return std::nullopt;
  MemberUpdate update = NonAliveUpdate(member->status, id, member->record.incarnation, members_.self());
  if (member->status == Status::kSuspect && !member->suspected_by.empty())
    update.reported_by = member->suspected_by.front();
  return update;
}

void MembershipView::SendDatagram(const PeerAddress& to, InstanceId to_id, const DatagramBody& body,
                                  std::vector<MemberUpdate> leading_updates) {
  Datagram d;
  d.sender = members_.own().record;
  d.digest = members_.digest();
  d.body = body;
  d.updates = std::move(leading_updates);
  if (to_id != kNoInstance)
    if (auto non_alive = StatusUpdateOf(to_id)) d.updates.push_back(std::move(*non_alive));
  std::size_t used_bytes = kDatagramOverheadBytes + MaxEncodedSize(d.sender);
  for (const MemberUpdate& update : d.updates) used_bytes += MaxEncodedSize(update);
  const int max_transmits = settings_.safety_checks.retransmit_limit
                                ? 3 * static_cast<int>(std::ceil(std::log10(members_.live_count() + 1.0))) + 1
                                : 1 << 30;
  if (used_bytes < kMaxDatagramBytes)
    broadcasts_.Fill(d.updates, kMaxDatagramBytes - used_bytes, max_transmits);
  outputs_.push_back(Transmit{to, std::move(d)});
}

void MembershipView::SendGossip() {
  for (const InstanceId id : PickMembers(kGossipFanout, kNoInstance)) {
    if (broadcasts_.empty()) return;
    SendDatagram(members_.Find(id)->record.address, id, Gossip{});
  }
}

}  // namespace lemoncroft::gossip
