#include "operator_config/rules_block.h"

#include <algorithm>

#include "gossip/types.h"
#include "operator_config/operator_keys.h"

namespace lemoncroft::operator_config {

using codec::KdlNode;
using codec::KdlValue;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMinVoters = 3, kMaxVoters = 7;
constexpr int kMinRenewalsPerLease = 3;  // a single lost response must not let the lease expire

void ReadVoters(const KdlNode& node, std::vector<std::string>& out, Faults& faults) {
  for (const KdlValue& value : node.arguments) {
    const bool is_name = value.kind == KdlValue::Kind::kString && !value.text.empty() &&
                         value.text.size() <= gossip::kMaxNameBytes;
    if (!is_name)
      faults.AddAt(node, value, "voters: expected names of proxies");
    else if (std::find(out.begin(), out.end(), value.text) != out.end())
      faults.AddAt(node, value, "voters: '" + value.text + "' is given twice");
    else
      out.push_back(value.text);
  }
  if (out.size() < kMinVoters || out.size() > kMaxVoters || !node.properties.empty() ||
      !node.children.empty())
    faults.AddAt(node, "voters: expected three to seven names of proxies");
}

}  // namespace

ReplicatedConfigSettings ReadReplicatedConfig(const KdlNode& node, Faults& faults) {
  ReplicatedConfigSettings out;
  const NodeReaders readers = {
      {keys::replicated_config::kVoters, [&](const KdlNode& n) { ReadVoters(n, out.voters, faults); }},
      {keys::replicated_config::kStore, [&](const KdlNode& n) { ReadText(n, out.store, faults); }},
      {keys::replicated_config::kLeaseDuration,
       [&](const KdlNode& n) { ReadDuration(n, 300ms, 10s, out.lease, faults); }},
      {keys::replicated_config::kRenewalInterval,
       [&](const KdlNode& n) { ReadDuration(n, 50ms, 2s, out.renewal_interval, faults); }},
  };
  if (!node.arguments.empty() || !node.properties.empty())
    faults.AddAt(node, "rules: expected a block without arguments");
  ReadBlock(node.children, readers, {}, faults);
  if (out.voters.empty()) faults.AddAt(node, "rules: needs `voters`, the proxies that store the log");
  if (out.lease < kMinRenewalsPerLease * out.renewal_interval)
    faults.AddAt(node, "lease: shorter than three beats; one lost answer would cut proxies off");
  return out;
}

}  // namespace lemoncroft::operator_config
