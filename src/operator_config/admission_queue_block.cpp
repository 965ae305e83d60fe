#include "operator_config/admission_queue_block.h"

#include <algorithm>
#include <optional>
#include <set>

#include "operator_config/operator_keys.h"

namespace lemoncroft::operator_config {

using codec::KdlNode;
using namespace std::chrono_literals;

namespace {

constexpr double kMaxCores = 1e6;
constexpr double kMaxThreads = 1e7;
constexpr double kMaxWaiting = 2e6;
constexpr double kMinHeavyThreadsPerCore = 0.1, kMaxHeavyThreadsPerCore = 16;
constexpr double kMinPriorityWeight = 1e-6, kMaxPriorityWeight = 1e6;

// Returns the index in `names` of the name that is the only argument of a node; the node may have children.
// Records a fault and returns nullopt if there is no such name. `what` is the kind of thing that is named.
std::optional<std::size_t> ReadReference(const KdlNode& node, const std::vector<std::string>& names,
                                         const char* what, Faults& faults) {
  const bool has_name =
      node.arguments.size() == 1 && node.arguments[0].kind == codec::KdlValue::Kind::kString;
  if (!has_name || !node.properties.empty()) {
    faults.AddAt(node, node.name + ": expected the name of a " + what);
    return std::nullopt;
  }
  const codec::KdlValue& name = node.arguments[0];
  const auto it = std::find(names.begin(), names.end(), name.text);
  if (it == names.end()) {
    faults.AddAt(node, name, "the site has no " + std::string(what) + " '" + name.text + "'");
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - names.begin());
}

void ReadTenant(const KdlNode& node, const settings::Site& site, admission_queue::TenantBudget& budget,
                Faults& faults) {
  bool has_cores = false;
  const NodeReaders readers = {
      {keys::queue::kCores,
       [&](const KdlNode& n) {
         has_cores = true;
         ReadNumber(n, 0, kMaxCores, budget.cores, faults);
       }},
      {keys::queue::kBurst, [&](const KdlNode& n) { ReadDuration(n, 0s, 1h, budget.burst, faults); }},
      {keys::queue::kMaxThreads,
       [&](const KdlNode& n) {
         std::size_t threads = 0;
         ReadCount(n, kMaxThreads, threads, faults);
         budget.max_threads = static_cast<int>(threads);
       }},
      {keys::queue::kTenantMaxWaiting,
       [&](const KdlNode& n) { ReadCount(n, kMaxWaiting, budget.max_waiting, faults); }},
      {keys::queue::kBarredClass,
       [&](const KdlNode& n) {
         if (const auto class_id = ReadReference(n, site.classes, "class", faults))
           budget.barred_classes.push_back(static_cast<admission_queue::ClassId>(*class_id));
       }},
  };
  ReadBlock(node.children, readers, {keys::queue::kBarredClass}, faults);
  if (!has_cores) faults.AddAt(node, "team '" + budget.name + "' has no cores: set a budget, 0 for none");
}

void ReadClass(const KdlNode& node, admission_queue::ClassPolicy& policy, Faults& faults) {
  const NodeReaders readers = {
      {keys::queue::kMaxWait, [&](const KdlNode& n) { ReadDuration(n, 1ms, 1h, policy.max_wait, faults); }},
      {keys::queue::kPriorityWeight,
       [&](const KdlNode& n) {
         ReadNumber(n, kMinPriorityWeight, kMaxPriorityWeight, policy.priority_weight, faults);
       }},
      {keys::queue::kIsLight, [&](const KdlNode& n) { ReadFlag(n, policy.light, faults); }},
  };
  ReadBlock(node.children, readers, {}, faults);
}

// Returns the default policies of the site's classes. The default work of a class is a third of its latency
// objective, on all of its threads. As in the decision module, a class is light if its work is at most a
// quarter of the heaviest class's work.
std::vector<admission_queue::ClassPolicy> ClassPoliciesOf(const settings::Site& site) {
  std::vector<admission_queue::ClassPolicy> policies;
  admission_queue::Work heaviest{};
  for (std::size_t i = 0; i < site.classes.size(); ++i) {
    const ClassSettings& c = site.module.classes[i];
    admission_queue::ClassPolicy policy;
    policy.name = site.classes[i];
    policy.priority_weight = c.priority_weight;
    policy.threads = c.threads;
    policy.default_work =
        std::max<admission_queue::Work>(1ms, admission_queue::Work(c.latency_objective) / 3 * c.threads);
    heaviest = std::max(heaviest, policy.default_work);
    policies.push_back(std::move(policy));
  }
  for (admission_queue::ClassPolicy& policy : policies) policy.light = policy.default_work * 4 <= heaviest;
  return policies;
}

admission_queue::Settings DefaultsOf(const settings::Site& site) {
  admission_queue::Settings queue;
  queue.budget_share = 1.0 / std::max(1, site.module.gateway_count);
  queue.max_retry_after = admission_queue::Duration(site.module.max_retry_after);
  queue.classes = ClassPoliciesOf(site);
  for (const std::string& name : site.tenants)
    queue.tenants.push_back({.name = name, .burst = 1s, .barred_classes = {}});
  return queue;
}

// Checks that every tenant of the site has a budget and that each budget can be used. `given_tenants`
// contains the indices of the tenants in the block.
void CheckTenants(const KdlNode& node, const settings::Site& site, const admission_queue::Settings& queue,
                  const std::set<std::size_t>& given_tenants, Faults& faults) {
  for (std::size_t i = 0; i < site.tenants.size(); ++i) {
    const std::string& name = site.tenants[i];
    if (given_tenants.contains(i) || name.empty()) continue;
    faults.AddAt(node, "team '" + name + "' of the site is not given: `team \"" + name +
                           "\" { cores 0 }` would refuse all it sends");
  }
  for (const admission_queue::TenantBudget& tenant : queue.tenants) {
    const bool all_barred = tenant.barred_classes.size() >= queue.classes.size() && !queue.classes.empty();
    if (tenant.cores > 0 && all_barred)
      faults.AddAt(node, "team '" + tenant.name + "' has a budget but may use no class");
  }
}

}  // namespace

AdmissionQueueSettings ReadAdmissionQueue(const KdlNode& node, const settings::Site& site, Faults& faults) {
  AdmissionQueueSettings out;
  out.queue = DefaultsOf(site);
  admission_queue::Settings& queue = out.queue;
  std::set<std::size_t> given_tenants;
  const auto read_class = [&](const KdlNode& n) {
    if (const auto class_id = ReadReference(n, site.classes, "class", faults))
      ReadClass(n, queue.classes[*class_id], faults);
  };
  const auto read_tenant = [&](const KdlNode& n) {
    const auto tenant = ReadReference(n, site.tenants, "team", faults);
    if (!tenant) return;
    if (!given_tenants.insert(*tenant).second)
      return faults.AddAt(n, "team '" + site.tenants[*tenant] + "': given twice");
    ReadTenant(n, site, queue.tenants[*tenant], faults);
  };
  const NodeReaders readers = {
      {keys::queue::kAgeing, [&](const KdlNode& n) { ReadDuration(n, 0s, 24h, queue.ageing, faults); }},
      {keys::queue::kHeavyThreadsPerCore,
       [&](const KdlNode& n) {
         ReadNumber(n, kMinHeavyThreadsPerCore, kMaxHeavyThreadsPerCore, queue.heavy_threads_per_core,
                    faults);
       }},
      {keys::queue::kMaxWaiting,
       [&](const KdlNode& n) { ReadCount(n, kMaxWaiting, queue.max_waiting, faults); }},
      {keys::queue::kReportEstimates, [&](const KdlNode& n) { ReadFlag(n, out.report_estimates, faults); }},
      {keys::queue::kStateFile, [&](const KdlNode& n) { ReadText(n, out.state_file, faults); }},
      {keys::queue::kClass, read_class},
      {keys::queue::kTenant, read_tenant},
  };
  if (!node.arguments.empty() || !node.properties.empty())
    faults.AddAt(node, "waiting: expected a block without arguments");
  if (!site.HasTenants())
    faults.AddAt(node, "waiting: divides capacity among tenants, but the site has none");
  ReadBlock(node.children, readers, {keys::queue::kClass, keys::queue::kTenant}, faults);
  CheckTenants(node, site, queue, given_tenants, faults);
  return out;
}

}  // namespace lemoncroft::operator_config
