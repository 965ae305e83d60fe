#include "testing/simulation/site_shapes.h"

#include <algorithm>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

namespace lemoncroft::simulation {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1000 * kMs;
constexpr int kCandidates = 20;                  // candidates for each shape that is chosen
constexpr double kOrderingKeyUtilization = 0.1;  // share of the time during which requests of a key run
constexpr double kMemoryUse = 0.4;               // mean share of an engine's memory in use at full load
constexpr double kMemoryPerCoreMb = 2048;
constexpr double kMaxWorkBiasLog2 = 1.3;     // maximum of |log2| of the ratio of rough estimates to the work
constexpr double kMaxMemoryBiasLog2 = 0.5;   // likewise, to the memory
constexpr double kQuotaMargin = 2;           // ratio of a tenant's quota to its mean rate
constexpr double kMaxRestartedShare = 0.25;  // maximum share of the restarting engine in a class's cores
constexpr int kEnginesPerCell = 2;           // engines of a zone in one cell

const std::vector<DimensionInfo>& DimensionTable() {
  static const std::vector<DimensionInfo> kTable = {
      {"mix", {"one class", "light and heavy", "three classes"}},
      {"marked class", {"lightest", "heaviest"}},  // the class that order, effect and placement apply to
      {"order", {"none", "by key"}},
      {"effect", {"safe", "keyed", "unsafe"}},
      {"repeat group", {"all", "zone", "cell"}},
      {"bound", {"none", "zone", "kind"}},
      {"loads", {"none", "loads", "loads block readers"}},  // of the heaviest class
      {"attempt budget", {"none", "present"}},
      {"second copies", {"not allowed", "allowed"}},
      {"retry advice", {"not allowed", "allowed"}},
      {"attempts", {"1", "2", "3", "5"}},
      {"reports", {"none", "in answers", "in probes only", "promised, never come", "stop coming"}},
      {"report fields", {"inflight, x0, x1", "util", "queue, inflight"}},
      {"estimates", {"good", "rough", "none"}},
      {"costs", {"told", "untold"}},
      {"memory short", {"queue", "trim", "swap"}},
      {"grants", {"heeded", "not heeded"}},
      {"priorities", {"heeded", "not heeded"}},
      {"probes", {"allowed", "not allowed"}},
      {"cancel", {"allowed", "allowed, work goes on", "not allowed"}},
      {"progress notes", {"none", "each second"}},
      {"tenants", {"0", "1", "4"}},
      {"zones", {"1", "3", "8"}},
      {"engines", {"2", "8", "40"}},
      {"gateways", {"1", "3", "8"}},
  };
  return kTable;
}

std::size_t ValueCount(std::size_t dimension) { return DimensionTable()[dimension].values.size(); }

// ---- Pairwise drawing ----

struct Choice {
  std::size_t dimension = 0;
  std::size_t value = 0;
  bool operator<(const Choice& other) const {
    return dimension != other.dimension ? dimension < other.dimension : value < other.value;
  }
};
using Pair = std::pair<Choice, Choice>;  // the choice of the lower dimension comes first

Pair OrderedPair(Choice a, Choice b) { return a.dimension < b.dimension ? Pair{a, b} : Pair{b, a}; }

std::set<Pair> AllPairs() {
  std::set<Pair> pairs;
  for (std::size_t a = 0; a < kDimensions; ++a)
    for (std::size_t b = a + 1; b < kDimensions; ++b)
      for (std::size_t x = 0; x < ValueCount(a); ++x)
        for (std::size_t y = 0; y < ValueCount(b); ++y) pairs.insert({{a, x}, {b, y}});
  return pairs;
}

std::size_t CountUncovered(const std::set<Pair>& uncovered, const std::vector<Choice>& chosen, Choice next) {
  return static_cast<std::size_t>(std::count_if(chosen.begin(), chosen.end(), [&](Choice other) {
    return uncovered.contains(OrderedPair(other, next));
  }));
}

// Returns one shape that starts with an uncovered pair; each further dimension takes the value that covers
// the most pairs.
std::vector<Choice> DrawCandidate(const std::set<Pair>& uncovered, std::mt19937_64& random) {
  const Pair start = *std::next(uncovered.begin(), static_cast<std::ptrdiff_t>(random() % uncovered.size()));
  std::vector<Choice> chosen = {start.first, start.second};
  std::vector<std::size_t> rest;
  for (std::size_t d = 0; d < kDimensions; ++d)
    if (d != start.first.dimension && d != start.second.dimension) rest.push_back(d);
  std::shuffle(rest.begin(), rest.end(), random);
  for (const std::size_t dimension : rest) {
    const std::size_t offset = random() % ValueCount(dimension);
    Choice best;
    std::size_t max_covered = 0;
    for (std::size_t i = 0; i < ValueCount(dimension); ++i) {
      const Choice next{dimension, (i + offset) % ValueCount(dimension)};
      const std::size_t covered = CountUncovered(uncovered, chosen, next);
      if (i == 0 || covered > max_covered) best = next, max_covered = covered;
    }
    chosen.push_back(best);
  }
  return chosen;
}

std::vector<Pair> PairsOf(const std::vector<Choice>& chosen) {
  std::vector<Pair> pairs;
  for (std::size_t i = 0; i < chosen.size(); ++i)
    for (std::size_t j = i + 1; j < chosen.size(); ++j) pairs.push_back(OrderedPair(chosen[i], chosen[j]));
  return pairs;
}

// ---- Building a site ----

struct ClassPlan {
  double share;
  double work;  // mean, core-seconds
  int threads;
  Nanos latency_objective;
  Nanos client_timeout;
  double priority_weight;
  double memory;  // relative to the other classes
};

std::vector<ClassPlan> ClassPlans(const SiteShape& shape) {
  if (shape.Is(Dimension::kMix, "one class")) return {{1, 0.25, 1, kSecond, 6 * kSecond, 1, 1}};
  if (shape.Is(Dimension::kMix, "light and heavy"))
    return {{0.85, 0.15, 1, 800 * kMs, 5 * kSecond, 1, 0.5},
            {0.15, 1.5, 2, 3 * kSecond, 15 * kSecond, 5, 1.5}};
  return {{0.80, 0.1, 1, 600 * kMs, 4 * kSecond, 1, 0.5},
          {0.15, 0.5, 2, 2 * kSecond, 10 * kSecond, 4, 1},
          {0.05, 2.5, 4, 6 * kSecond, 25 * kSecond, 12, 1.5}};
}

int NumberOf(const SiteShape& shape, Dimension dimension) {
  return std::stoi(std::string(shape.value(dimension)));
}

std::vector<ReportField> ReportFieldsOf(const SiteShape& shape) {
  if (shape.Is(Dimension::kReports, "none")) return {};
  if (shape.Is(Dimension::kReportFields, "util")) return {ReportField::kUtil};
  if (shape.Is(Dimension::kReportFields, "queue, inflight"))
    return {ReportField::kQueue, ReportField::kInflight};
  return {ReportField::kInflight, ReportField::kX0, ReportField::kX1};
}

void ConfigureMarkedClass(const SiteShape& shape, ClassSettings& marked) {
  marked.in_order = shape.Is(Dimension::kOrdering, "by key");
  marked.effect = static_cast<Effect>(shape.at(Dimension::kEffect));
  marked.repeat_group = static_cast<RepeatGroup>(shape.at(Dimension::kRepeatGroup));
  marked.repeat_window = marked.effect == Effect::kKeyed ? 2 * kSecond : 0;
  if (shape.Is(Dimension::kPlacement, "zone")) marked.zones = {0};
  if (shape.Is(Dimension::kPlacement, "kind")) marked.kinds = {0};
}

std::vector<ClassSettings> ClassSettingsOf(const SiteShape& shape) {
  std::vector<ClassSettings> classes;
  for (const ClassPlan& plan : ClassPlans(shape)) {
    ClassSettings c;
    c.latency_objective = plan.latency_objective;
    c.latency_objective_stretch = 2;
    c.client_timeout = plan.client_timeout;
    c.priority_weight = plan.priority_weight;
    c.late_weight_share = 0.3;
    c.threads = plan.threads;
    c.blocked_by_loads = shape.Is(Dimension::kLoads, "loads block readers");
    classes.push_back(c);
  }
  if (!shape.Is(Dimension::kLoads, "none")) {
    classes.back().holds_tables = true;
    classes.back().blocked_by_loads = false;
  }
  ConfigureMarkedClass(shape,
                       shape.Is(Dimension::kMarkedClass, "lightest") ? classes.front() : classes.back());
  return classes;
}

Settings SettingsOf(const SiteShape& shape) {
  Settings s;
  s.gateway_count = NumberOf(shape, Dimension::kGateways);
  s.tick = 5 * kMs;
  s.classes = ClassSettingsOf(shape);
  s.report_fields = ReportFieldsOf(shape);
  s.reports_in_responses = !s.report_fields.empty() && !shape.Is(Dimension::kReports, "in probes only");
  s.over_quota_weight_share = 0.2;
  s.drain_grace = 250 * kMs;
  s.slow_start_initial_share = 0.33;
  s.slow_start_duration = 10 * kSecond;
  s.overload_factor = 4;
  s.overload_window = 2 * kSecond;
  s.ordering_key_pause = 300 * kMs;
  if (shape.Is(Dimension::kRetryBudget, "present"))
    s.retry_budget = RetryBudgetSettings{2, 0.01, 10 * kSecond};
  s.may_cancel = !shape.Is(Dimension::kCancel, "not allowed");
  s.may_probe = shape.Is(Dimension::kProbes, "allowed");
  s.may_hedge = shape.Is(Dimension::kHedging, "allowed");
  s.may_send_retry_after = shape.Is(Dimension::kRetryAfter, "allowed");
  s.max_attempts = NumberOf(shape, Dimension::kAttempts);
  s.max_retry_after = kSecond;
  s.connect_timeout = 250 * kMs;
  s.honors_memory_grants = shape.Is(Dimension::kGrants, "heeded");
  s.honors_priorities = shape.Is(Dimension::kPriorities, "heeded");
  s.max_grant_share = 0.5;
  s.memory_shortage_policy = static_cast<MemoryShortagePolicy>(shape.at(Dimension::kMemoryShortage));
  s.progress_interval = shape.Is(Dimension::kProgressNotices, "each second") ? kSecond : 0;
  s.reports_cost = shape.Is(Dimension::kCosts, "told");
  return s;
}

std::vector<KindSettings> EngineKinds() { return {{8, 8 * kMemoryPerCoreMb}, {16, 16 * kMemoryPerCoreMb}}; }

void AddEngines(Site& site) {
  const int engines = NumberOf(site.shape, Dimension::kEngines);
  const int zones = NumberOf(site.shape, Dimension::kZones);
  const Settings& s = site.settings;
  for (int i = 0; i < engines; ++i) {
    EngineEntry entry;
    entry.engine = static_cast<EngineId>(i + 1);
    entry.zone = static_cast<std::uint16_t>(i % zones);
    entry.kind = i % 3 == 0 ? 1 : 0;
    const int cell_in_zone = i / zones / kEnginesPerCell;
    entry.cell = static_cast<std::uint16_t>(cell_in_zone * zones + entry.zone);
    site.engines.push_back(entry);
    EngineTraits traits;
    traits.cores = s.kinds[entry.kind].cores;
    traits.memory_mb = s.kinds[entry.kind].memory_mb;
    traits.max_sessions = static_cast<std::size_t>(8 * traits.cores);
    traits.memory_shortage_policy = s.memory_shortage_policy;
    traits.honors_memory_grants = s.honors_memory_grants;
    traits.honors_priorities = s.honors_priorities;
    traits.slow_start_initial_share = s.slow_start_initial_share;
    traits.slow_start_duration = s.slow_start_duration;
    traits.report_interval = 400 * kMs;
    traits.report_delay = 150 * kMs;
    traits.report_fields = s.report_fields;
    site.traits.push_back(traits);
  }
}

void AddPlacement(Site& site) {
  const auto within = [](const std::vector<std::uint16_t>& places, std::uint16_t place) {
    return places.empty() || std::find(places.begin(), places.end(), place) != places.end();
  };
  for (const ClassSettings& c : site.settings.classes) {
    std::vector<EngineId> engines;
    for (const EngineEntry& e : site.engines)
      if (within(c.zones, e.zone) && within(c.kinds, e.kind)) engines.push_back(e.engine);
    site.allowed_engines.push_back(engines);
  }
}

double TotalCores(const Site& site, const std::vector<EngineId>& engines) {
  double sum = 0;
  for (const EngineId id : engines) sum += site.traits[id - 1].cores;
  return sum;
}

// The memory of a class follows from Little's law: at full load the running queries need, on average,
// kMemoryUse of an engine's memory.
void AddTraffic(Site& site, std::mt19937_64& random) {
  const std::vector<ClassPlan> plans = ClassPlans(site.shape);
  double work = 0, memory = 0;  // of a mean request: work, and memory times run time
  for (const ClassPlan& plan : plans) {
    work += plan.share * plan.work;
    memory += plan.share * plan.work / plan.threads * plan.memory;
  }
  std::uniform_real_distribution<> draw_bias(-1, 1);
  for (const ClassPlan& plan : plans) {
    ClassTraffic t;
    t.share = plan.share;
    t.work = plan.work;
    t.memory_mb = kMemoryUse * kMemoryPerCoreMb * work / memory * plan.memory;
    t.work_bias = std::exp2(kMaxWorkBiasLog2 * draw_bias(random));
    t.memory_bias = std::exp2(kMaxMemoryBiasLog2 * draw_bias(random));
    site.traffic.push_back(t);
  }
}

// Returns the work that one request per second causes on each core of an engine if every class is spread over
// the engines that it may use, in proportion to their cores.
double WorkPerCore(const Site& site, EngineId engine) {
  double sum = 0;
  for (std::size_t i = 0; i < site.traffic.size(); ++i) {
    const std::vector<EngineId>& allowed = site.allowed_engines[i];
    if (std::find(allowed.begin(), allowed.end(), engine) == allowed.end()) continue;
    sum += site.traffic[i].share * site.traffic[i].work / TotalCores(site, allowed);
  }
  return sum;
}

// `load` is the load of the busiest engine.
void SetRate(Site& site, double load) {
  double max_work = 0;
  for (const EngineEntry& e : site.engines) max_work = std::max(max_work, WorkPerCore(site, e.engine));
  site.request_rate = load / max_work;
  for (std::size_t i = 0; i < site.traffic.size(); ++i) {
    const ClassSettings& c = site.settings.classes[i];
    if (!c.in_order) continue;
    const double running = site.request_rate * site.traffic[i].share * site.traffic[i].work / c.threads;
    site.ordering_keys = static_cast<std::uint64_t>(std::max(4.0, running / kOrderingKeyUtilization));
  }
}

void AddTenants(Site& site) {
  const int tenants = NumberOf(site.shape, Dimension::kTenants);
  const double quota = tenants > 1 ? kQuotaMargin * site.request_rate / tenants : 0;
  site.settings.tenants.assign(static_cast<std::size_t>(tenants), TenantSettings{quota});
}

// Chooses an engine without which the day stays calm: it is a small part of the cores that each class may
// use.
void ChooseRestarted(Site& site) {
  for (std::size_t i = 0; i < site.engines.size() && !site.restarted_engine; ++i) {
    bool small = true;
    for (const auto& engines : site.allowed_engines) {
      const bool in = std::find(engines.begin(), engines.end(), site.engines[i].engine) != engines.end();
      small = small && (!in || site.traits[i].cores <= kMaxRestartedShare * TotalCores(site, engines));
    }
    if (small) site.restarted_engine = i;
  }
}

}  // namespace

const DimensionInfo& Info(Dimension dimension) {
  return DimensionTable().at(static_cast<std::size_t>(dimension));
}

bool SiteShape::Is(Dimension dimension, std::string_view expected) const {
  const auto& values = Info(dimension).values;
  const auto it = std::find(values.begin(), values.end(), expected);
  if (it == values.end())
    throw std::out_of_range("the dimension has no such value: " + std::string(expected));
  return at(dimension) == static_cast<std::size_t>(it - values.begin());
}

std::string SiteShape::Describe() const {
  std::string text;
  for (std::size_t i = 0; i < kDimensions; ++i) {
    const auto dimension = static_cast<Dimension>(i);
    text += (i == 0 ? "" : "; ") + std::string(Info(dimension).name) + ": " + std::string(value(dimension));
  }
  return text;
}

std::vector<SiteShape> DrawPairwise(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::set<Pair> uncovered = AllPairs();
  std::vector<SiteShape> shapes;
  while (!uncovered.empty()) {
    std::vector<Choice> best;
    std::size_t max_covered = 0;
    for (int i = 0; i < kCandidates; ++i) {
      const std::vector<Choice> candidate = DrawCandidate(uncovered, random);
      const std::vector<Pair> pairs = PairsOf(candidate);
      const auto covered = static_cast<std::size_t>(std::count_if(
          pairs.begin(), pairs.end(), [&](const Pair& pair) { return uncovered.contains(pair); }));
      if (covered > max_covered) best = candidate, max_covered = covered;
    }
    for (const Pair& pair : PairsOf(best)) uncovered.erase(pair);
    SiteShape shape;
    for (const Choice& choice : best) shape.Set(static_cast<Dimension>(choice.dimension), choice.value);
    shapes.push_back(shape);
  }
  return shapes;
}

Site BuildSite(const SiteShape& shape, double load, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Site site;
  site.shape = shape;
  site.settings = SettingsOf(shape);
  site.settings.kinds = EngineKinds();
  AddEngines(site);
  AddPlacement(site);
  AddTraffic(site, random);
  SetRate(site, load);
  AddTenants(site);
  ChooseRestarted(site);
  site.report_delivery = static_cast<ReportDelivery>(shape.at(Dimension::kReports));
  site.estimate_quality = static_cast<EstimateQuality>(shape.at(Dimension::kEstimates));
  site.cancel_stops_work = !shape.Is(Dimension::kCancel, "allowed, work goes on");
  return site;
}

}  // namespace lemoncroft::simulation
