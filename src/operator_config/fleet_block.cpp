#include "operator_config/fleet_block.h"

#include <algorithm>
#include <set>

#include "peer_transport/frame.h"
#include "peer_transport/link.h"

namespace lemoncroft::operator_config {

using codec::KdlNode;
using codec::KdlValue;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxListenAddresses = 2;  // a process, and the one that takes its place
constexpr std::size_t kMaxSeeds = 64;
constexpr double kMaxMembers = 8192;
constexpr int kMinRetentionIntervals = 40;  // at the least: a verdict and a healing take longer than a few

std::vector<gossip::Endpoint> ReadEndpoints(const KdlNode& node, std::size_t most, Faults& faults) {
  std::vector<gossip::Endpoint> out;
  if (node.arguments.empty() || node.arguments.size() > most || !node.properties.empty() ||
      !node.children.empty()) {
    faults.Add(node.place, node.name + ": expected 1 to " + std::to_string(most) + " addresses");
    return out;
  }
  for (const KdlValue& value : node.arguments) {
    const auto address =
        value.kind == KdlValue::Kind::kText ? runtime::Address::Parse(value.text) : std::nullopt;
    const gossip::Endpoint endpoint = address ? peer_transport::ToEndpoint(*address) : gossip::Endpoint();
    if (!endpoint)
      faults.Add(value.place, node.name + ": '" + value.text + "' is not an IPv4 address with a port");
    else if (std::find(out.begin(), out.end(), endpoint) != out.end())
      faults.Add(value.place, node.name + ": '" + value.text + "' is given twice");
    else
      out.push_back(endpoint);
  }
  return out;
}

void ReadName(const KdlNode& node, std::size_t most, std::string& out, Faults& faults) {
  ReadText(node, out, faults);
  const bool plain = std::all_of(out.begin(), out.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (out.size() > most || !plain)
    faults.Add(node.place,
               node.name + ": at most " + std::to_string(most) + " plain characters without blanks");
}

}  // namespace

FleetSettings ReadFleet(const KdlNode& node, Faults& faults) {
  FleetSettings out;
  KdlNode name = node;
  name.children.clear();
  ReadName(name, peer_transport::kMaxFleetNameBytes, out.name, faults);
  std::set<std::string> given;
  const auto noted = [&](auto read) {
    return [&given, read](const KdlNode& n) {
      given.insert(n.name);
      read(n);
    };
  };
  const NodeReaders known = {
      {"listen",
       noted([&](const KdlNode& n) { out.listen = ReadEndpoints(n, kMaxListenAddresses, faults); })},
      {"advertise",
       noted([&](const KdlNode& n) { out.advertise = ReadEndpoints(n, kMaxListenAddresses, faults); })},
      {"seeds", noted([&](const KdlNode& n) { out.membership.seeds = ReadEndpoints(n, kMaxSeeds, faults); })},
      {"zone", [&](const KdlNode& n) { ReadName(n, gossip::kMaxZoneBytes, out.zone, faults); }},
      {"state-file", [&](const KdlNode& n) { ReadText(n, out.state_file, faults); }},
      {"period", [&](const KdlNode& n) { ReadSpan(n, 50ms, 10s, out.membership.probe_interval, faults); }},
      {"remember", [&](const KdlNode& n) { ReadSpan(n, 1s, 24h, out.membership.failed_retention, faults); }},
      {"most", [&](const KdlNode& n) { ReadCount(n, kMaxMembers, out.membership.max_members, faults); }},
  };
  ReadBlock(node.children, known, {}, faults);
  if (!given.contains("listen"))
    faults.Add(node.place, "fleet: needs `listen`, where peers reach this proxy");
  if (!given.contains("seeds"))
    faults.Add(node.place, "fleet: needs `seeds`; the first proxy of a fleet names itself alone");
  if (!given.contains("advertise")) out.advertise = out.listen;
  if (out.advertise.size() != out.listen.size() && given.contains("listen"))
    faults.Add(node.place, "fleet: `advertise` needs an address for each of `listen`");
  for (const gossip::Endpoint& told : out.advertise)
    if (told.host == 0) faults.Add(node.place, "fleet: nobody can reach 0.0.0.0: give `advertise`");
  if (out.membership.max_members < 2) faults.Add(node.place, "most: a fleet has two members and more");
  if (out.membership.failed_retention < kMinRetentionIntervals * out.membership.probe_interval)
    faults.Add(node.place, "remember: shorter than " + std::to_string(kMinRetentionIntervals) + " periods");
  return out;
}

}  // namespace lemoncroft::operator_config
