#include "operator_config/fleet_block.h"

#include <algorithm>
#include <set>

#include "operator_config/operator_keys.h"
#include "peer_transport/frame.h"
#include "peer_transport/link.h"

namespace lemoncroft::operator_config {

using codec::KdlNode;
using codec::KdlValue;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxListenAddresses = 2;  // one of a process, one of its successor in a hot restart
constexpr std::size_t kMaxSeeds = 64;
constexpr double kMaxMembers = 8192;
// Failed members must be retained for at least this many probe intervals, because a suspicion and its
// refutation take several.
constexpr int kMinRetentionIntervals = 40;

std::vector<gossip::PeerAddress> ReadPeerAddresses(const KdlNode& node, std::size_t max, Faults& faults) {
  std::vector<gossip::PeerAddress> out;
  if (node.arguments.empty() || node.arguments.size() > max || !node.properties.empty() ||
      !node.children.empty()) {
    faults.AddAt(node, node.name + ": expected 1 to " + std::to_string(max) + " addresses");
    return out;
  }
  for (const KdlValue& value : node.arguments) {
    const auto parsed =
        value.kind == KdlValue::Kind::kString ? runtime::Address::Parse(value.text) : std::nullopt;
    const gossip::PeerAddress address =
        parsed ? peer_transport::ToPeerAddress(*parsed) : gossip::PeerAddress();
    if (!address)
      faults.AddAt(node, value, node.name + ": '" + value.text + "' is not an IPv4 address with a port");
    else if (std::find(out.begin(), out.end(), address) != out.end())
      faults.AddAt(node, value, node.name + ": '" + value.text + "' is given twice");
    else
      out.push_back(address);
  }
  return out;
}

void ReadName(const KdlNode& node, std::size_t max_bytes, std::string& out, Faults& faults) {
  ReadText(node, out, faults);
  const bool is_printable = std::all_of(out.begin(), out.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (out.size() > max_bytes || !is_printable)
    faults.AddAt(node,
                 node.name + ": at most " + std::to_string(max_bytes) + " plain characters without blanks");
}

// Checks settings that depend on each other. `given_keys` is the set of keys in the block.
void CheckFleet(const KdlNode& node, const FleetSettings& fleet, const std::set<std::string>& given_keys,
                Faults& faults) {
  const bool has_listen = given_keys.contains(keys::fleet::kListen);
  if (!has_listen) faults.AddAt(node, "fleet: needs `listen`, where peers reach this proxy");
  if (!given_keys.contains(keys::fleet::kSeeds))
    faults.AddAt(node, "fleet: needs `seeds`; the first proxy of a fleet lists only itself");
  if (fleet.advertise.size() != fleet.listen.size() && has_listen)
    faults.AddAt(node, "fleet: `advertise` needs an address for each of `listen`");
  for (const gossip::PeerAddress& advertised : fleet.advertise)
    if (advertised.host == 0) faults.AddAt(node, "fleet: peers cannot reach 0.0.0.0; set `advertise`");
  if (fleet.membership.max_members < 2) faults.AddAt(node, "most: a fleet has at least two members");
  if (fleet.membership.failed_retention < kMinRetentionIntervals * fleet.membership.probe_interval)
    faults.AddAt(node, "remember: shorter than " + std::to_string(kMinRetentionIntervals) + " periods");
}

}  // namespace

FleetSettings ReadFleet(const KdlNode& node, Faults& faults) {
  FleetSettings out;
  KdlNode name = node;
  name.children.clear();
  ReadName(name, peer_transport::kMaxFleetNameBytes, out.name, faults);
  std::set<std::string> given_keys;
  const auto recording_key = [&given_keys](auto read) {
    return [&given_keys, read](const KdlNode& n) {
      given_keys.insert(n.name);
      read(n);
    };
  };
  const auto addresses = [&faults, &recording_key](std::vector<gossip::PeerAddress>& out_addresses,
                                                   std::size_t max) {
    return recording_key([&faults, &out_addresses, max](const KdlNode& n) {
      out_addresses = ReadPeerAddresses(n, max, faults);
    });
  };
  gossip::Settings& membership = out.membership;
  const NodeReaders readers = {
      {keys::fleet::kListen, addresses(out.listen, kMaxListenAddresses)},
      {keys::fleet::kAdvertise, addresses(out.advertise, kMaxListenAddresses)},
      {keys::fleet::kSeeds, addresses(membership.seeds, kMaxSeeds)},
      {keys::fleet::kZone, [&](const KdlNode& n) { ReadName(n, gossip::kMaxZoneBytes, out.zone, faults); }},
      {keys::fleet::kStateFile, [&](const KdlNode& n) { ReadText(n, out.state_file, faults); }},
      {keys::fleet::kProbeInterval,
       [&](const KdlNode& n) { ReadDuration(n, 50ms, 10s, membership.probe_interval, faults); }},
      {keys::fleet::kFailedRetention,
       [&](const KdlNode& n) { ReadDuration(n, 1s, 24h, membership.failed_retention, faults); }},
      {keys::fleet::kMaxMembers,
       [&](const KdlNode& n) { ReadCount(n, kMaxMembers, membership.max_members, faults); }},
  };
  ReadBlock(node.children, readers, {}, faults);
  if (!given_keys.contains(keys::fleet::kAdvertise)) out.advertise = out.listen;
  CheckFleet(node, out, given_keys, faults);
  return out;
}

}  // namespace lemoncroft::operator_config
