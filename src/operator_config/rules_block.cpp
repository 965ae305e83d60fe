#include "operator_config/rules_block.h"

#include <algorithm>

#include "gossip/types.h"

namespace lemoncroft::operator_config {

using codec::KdlNode;
using codec::KdlValue;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMinVoters = 3, kMaxVoters = 7;
constexpr int kMinRenewalsPerLease = 3;  // at the least: one answer lost must not cut a proxy off

void ReadVoters(const KdlNode& node, std::vector<std::string>& out, Faults& faults) {
  for (const KdlValue& value : node.arguments) {
    const bool name = value.kind == KdlValue::Kind::kText && !value.text.empty() &&
                      value.text.size() <= gossip::kMaxNameBytes;
    if (!name)
      faults.Add(value.place, "voters: expected names of proxies");
    else if (std::find(out.begin(), out.end(), value.text) != out.end())
      faults.Add(value.place, "voters: '" + value.text + "' is given twice");
    else
      out.push_back(value.text);
  }
  if (out.size() < kMinVoters || out.size() > kMaxVoters || !node.properties.empty() ||
      !node.children.empty())
    faults.Add(node.place, "voters: expected three to seven names of proxies");
}

}  // namespace

ReplicatedConfigSettings ReadReplicatedConfig(const KdlNode& node, Faults& faults) {
  ReplicatedConfigSettings out;
  const NodeReaders known = {
      {"voters", [&](const KdlNode& n) { ReadVoters(n, out.voters, faults); }},
      {"store", [&](const KdlNode& n) { ReadText(n, out.store, faults); }},
      {"lease", [&](const KdlNode& n) { ReadSpan(n, 300ms, 10s, out.lease, faults); }},
      {"beat", [&](const KdlNode& n) { ReadSpan(n, 50ms, 2s, out.renewal_interval, faults); }},
  };
  if (!node.arguments.empty() || !node.properties.empty()) faults.Add(node.place, "rules takes a block only");
  ReadBlock(node.children, known, {}, faults);
  if (out.voters.empty()) faults.Add(node.place, "rules: needs `voters`, the proxies that keep the log");
  if (out.lease < kMinRenewalsPerLease * out.renewal_interval)
    faults.Add(node.place, "lease: shorter than three beats; one lost answer would cut proxies off");
  return out;
}

}  // namespace lemoncroft::operator_config
