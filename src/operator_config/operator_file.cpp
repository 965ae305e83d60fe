#include "operator_config/operator_file.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#include "operator_config/fields.h"
#include "operator_config/fleet_block.h"
#include "operator_config/rules_block.h"

namespace lemoncroft::operator_config {

using codec::KdlNode;
using namespace std::chrono_literals;

namespace {

constexpr double kCoresMost = 1e6;
constexpr double kThreadsMost = 1e7;
constexpr double kWaitingMost = 2e6;

// The one text argument of a node that also has children: a name out of `names`.
std::optional<std::size_t> Named(const KdlNode& node, const std::vector<std::string>& names, const char* what,
                                 Faults& faults) {
  const bool text = node.arguments.size() == 1 && node.arguments[0].kind == codec::KdlValue::Kind::kText;
  if (!text || !node.properties.empty()) {
    faults.Add(node.place, node.name + ": expected the name of a " + what);
    return std::nullopt;
  }
  const auto it = std::find(names.begin(), names.end(), node.arguments[0].text);
  if (it == names.end()) {
    faults.Add(node.arguments[0].place,
               "the site has no " + std::string(what) + " '" + node.arguments[0].text + "'");
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - names.begin());
}

void ReadTeam(const KdlNode& node, const settings::Site& site, admission_queue::TenantBudget& budget,
              Faults& faults) {
  bool has_cores = false;
  const Known known = {
      {"cores",
       [&](const KdlNode& n) { has_cores = true, ReadNumber(n, 0, kCoresMost, budget.cores, faults); }},
      {"burst", [&](const KdlNode& n) { ReadSpan(n, 0s, 1h, budget.burst, faults); }},
      {"threads",
       [&](const KdlNode& n) {
         std::size_t threads = 0;
         ReadCount(n, kThreadsMost, threads, faults);
         budget.max_threads = static_cast<int>(threads);
       }},
      {"waiting", [&](const KdlNode& n) { ReadCount(n, kWaitingMost, budget.max_waiting, faults); }},
      {"bar",
       [&](const KdlNode& n) {
         if (const auto class_id = Named(n, site.classes, "class", faults))
           budget.barred_classes.push_back(static_cast<admission_queue::ClassId>(*class_id));
       }},
  };
  ReadBlock(node.children, known, {"bar"}, faults);
  if (!has_cores)
    faults.Add(node.place, "team '" + budget.name + "' has no cores: give it a budget, 0 for none");
}

void ReadClass(const KdlNode& node, admission_queue::ClassPolicy& policy, Faults& faults) {
  const Known known = {
      {"wait-most", [&](const KdlNode& n) { ReadSpan(n, 1ms, 1h, policy.max_wait, faults); }},
      {"worth", [&](const KdlNode& n) { ReadNumber(n, 1e-6, 1e6, policy.priority_weight, faults); }},
      {"light", [&](const KdlNode& n) { ReadFlag(n, policy.light, faults); }},
  };
  ReadBlock(node.children, known, {}, faults);
}

// What the site tells of its classes: a usual work from the aim, which leaves some room, and as light those
// whose usual work is at most a quarter of the heaviest, as the decision module counts them.
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

WaitingSettings ReadWaiting(const KdlNode& node, const settings::Site& site, Faults& faults) {
  WaitingSettings out;
  admission_queue::Settings& queue = out.queue;
  queue.budget_share = 1.0 / std::max(1, site.module.gateways);
  queue.max_retry_after = admission_queue::Span(site.module.max_retry_after);
  queue.classes = ClassPoliciesOf(site);
  for (const std::string& name : site.tenants)
    queue.tenants.push_back({.name = name, .burst = 1s, .barred_classes = {}});
  std::set<std::size_t> given;
  const Known known = {
      {"ageing", [&](const KdlNode& n) { ReadSpan(n, 0s, 24h, queue.ageing, faults); }},
      {"level", [&](const KdlNode& n) { ReadNumber(n, 0.1, 16, queue.heavy_threads_per_core, faults); }},
      {"most", [&](const KdlNode& n) { ReadCount(n, kWaitingMost, queue.max_waiting, faults); }},
      {"tell-clients", [&](const KdlNode& n) { ReadFlag(n, out.tell_clients, faults); }},
      {"state", [&](const KdlNode& n) { ReadText(n, out.state, faults); }},
      {"class",
       [&](const KdlNode& n) {
         if (const auto class_id = Named(n, site.classes, "class", faults))
           ReadClass(n, queue.classes[*class_id], faults);
       }},
      {"team",
       [&](const KdlNode& n) {
         const auto team = Named(n, site.tenants, "team", faults);
         if (!team) return;
         if (!given.insert(*team).second)
           return faults.Add(n.place, "team '" + site.tenants[*team] + "': given twice");
         ReadTeam(n, site, queue.tenants[*team], faults);
       }},
  };
  if (!node.arguments.empty() || !node.properties.empty())
    faults.Add(node.place, "waiting takes a block only");
  if (!site.HasTenants()) faults.Add(node.place, "waiting divides work among tenants, and the site has none");
  ReadBlock(node.children, known, {"class", "team"}, faults);
  for (std::size_t i = 0; i < site.tenants.size(); ++i) {
    if (!given.contains(i) && !site.tenants[i].empty())
      faults.Add(node.place, "team '" + site.tenants[i] + "' of the site is not given: `team \"" +
                                 site.tenants[i] + "\" { cores 0 }` would refuse all it sends");
  }
  for (const admission_queue::TenantBudget& team : queue.tenants) {
    if (team.cores > 0 && team.barred_classes.size() >= queue.classes.size() && !queue.classes.empty())
      faults.Add(node.place, "team '" + team.name + "' has a budget and may use no class");
  }
  return out;
}

std::string Lines(const std::string& path, const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& p : problems) {
    text += (text.empty() ? "" : "\n") + path + ":" + std::to_string(p.place.line) + ":" +
            std::to_string(p.place.column) + ": " + p.text;
  }
  return text;
}

}  // namespace

OperatorError::OperatorError(const std::string& path, const std::vector<Problem>& problems)
    : std::runtime_error(Lines(path, problems)) {}

OperatorFile ReadOperatorFile(const std::string& path, std::string_view text, const settings::Site& site) {
  OperatorFile file;
  Faults faults;
  try {
    const std::vector<KdlNode> nodes = codec::ReadKdl(text);
    const Known known = {{"waiting", [&](const KdlNode& n) { file.waiting = ReadWaiting(n, site, faults); }},
                         {"fleet", [&](const KdlNode& n) { file.fleet = ReadFleet(n, faults); }},
                         {"rules", [&](const KdlNode& n) { file.rules = ReadRules(n, faults); }}};
    ReadBlock(nodes, known, {}, faults);
    if (file.rules && !file.fleet) faults.Add({}, "rules: needs a `fleet`, on whose way they are agreed");
  } catch (const codec::KdlError& e) {
    const std::string what = e.what();
    faults.Add(e.position(), what.substr(what.find(": ") + 2));
  }
  if (!faults.all().empty()) throw OperatorError(path, faults.all());
  return file;
}

OperatorFile LoadOperatorFile(const std::string& path, const settings::Site& site) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw OperatorError(path, {{{}, "cannot be read"}});
  std::ostringstream text;
  text << file.rdbuf();
  return ReadOperatorFile(path, text.str(), site);
}

}  // namespace lemoncroft::operator_config
