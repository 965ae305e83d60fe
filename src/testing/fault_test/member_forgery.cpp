#include "testing/fault_test/member_forgery.h"

#include <string>

#include "peer_transport/frame.h"
#include "peer_transport/link.h"
#include "runtime/datagram.h"
#include "testing/fault_test/forged_member_names.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Task;

namespace {

constexpr int kDatagrams = 850, kMembersPerDatagram = 12;
// Pause between batches, so that receivers' socket buffers do not overflow.
constexpr int kDatagramsPerBatch = 8;
constexpr auto kBatchInterval = 2ms;
constexpr std::uint64_t kSenderId = 0x11e5, kFirstMemberId = 0x10000;
constexpr int kFirstMemberPort = 20000;

gossip::MemberUpdate ForgedUpdate(const gossip::MemberRecord& sender, int number) {
  gossip::MemberUpdate update;
  update.record = sender;
  update.record.id = kFirstMemberId + static_cast<std::uint64_t>(number);
  update.record.name = std::string(kForgedMemberPrefix) + std::to_string(update.record.id);
  update.record.address.port = static_cast<std::uint16_t>(kFirstMemberPort + number);
  return update;
}

}  // namespace

Task<> ForgeMembers(runtime::Loop& loop, const TrialEnvironment& environment, const ProxyProcesses& processes,
                    std::size_t machine) {
  const runtime::Address sender_address = *runtime::Address::Parse(environment.ForgedSenderAddress(machine));
  runtime::DatagramSocket socket(loop, sender_address);
  gossip::Datagram datagram;
  datagram.sender.id = kSenderId;
  datagram.sender.name = kForgedSenderName;
  datagram.sender.address = peer_transport::ToPeerAddress(sender_address);
  datagram.body = gossip::Gossip{};
  for (int i = 0; i < kDatagrams; ++i) {
    datagram.updates.clear();
    for (int k = 0; k < kMembersPerDatagram; ++k)
      datagram.updates.push_back(ForgedUpdate(datagram.sender, kMembersPerDatagram * i + k));
    const std::string frame = peer_transport::Encode(kFleetName, datagram);
    for (const auto& process : processes.all()) {
      if (processes.HasEnded(*process)) continue;
      socket.Send(frame, environment.GossipAddress(process->machine, process->address_index));
    }
    if (i % kDatagramsPerBatch == 0) co_await loop.Sleep(kBatchInterval);
  }
}

}  // namespace lemoncroft::fault_test
