#include "admission_queue/line.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lemoncroft::admission_queue {

using namespace std::chrono_literals;

namespace {

constexpr Span kBeat = 50ms;                // clock of charges, rates and forecasts
constexpr Span kForecastAge = 20ms;         // older ones are made anew
constexpr std::size_t kForecastGrown = 32;  // ... and those made for so many fewer
constexpr Span kLookLeast = 100ms;          // between two looks at a waiting request
constexpr std::size_t kLooksAStep = 2048;
constexpr double kChanged = 0.4;       // of the wait: a change worth telling ...
constexpr Span kChangedLeast = 750ms;  // ... and at least this
constexpr Span kLaterLeast = 50ms;
constexpr Span kAtOnce = 100ms;  // that a start at once may take
// Handed over and not sent: enough that the module never lacks one, so few that its order is ours.
constexpr std::array<std::size_t, 2> kWindowLeast = {3, 16};
constexpr std::size_t kWindowMost = 512;
constexpr double kWindowSeconds = 0.06;  // of the lane's starts
// One that so many have passed closes its lane until it is sent, for this long at most: then the module can't
// place it whatever comes.
constexpr std::uint8_t kPassedMost = 6;
constexpr Span kClosedMost = 1s;
constexpr double kFreely = 0.8, kMost = 1.3;  // of the level: nothing is paced below, nothing starts above
constexpr double kSteer = 1.5;                // of the pace, by how far what runs is off the level
constexpr double kRunsOn =
    0.3;  // of the threads past their estimate that will still hold theirs when it matters
constexpr Span kCatchUp = 100ms;       // of pacing that was missed
constexpr double kRateMemory = 5;      // seconds that arrivals are averaged over
constexpr double kOffWeight = 0.03;    // of the newest answer in what estimates are off by
constexpr double kOffMost = 1.4;       // an outlier counts as this much (of the logarithm)
constexpr double kEstimateMost = 200;  // times the class's usual work: what is above is absurd
constexpr double kOwnPart = 0.5;       // of a request's work
constexpr double kScaleTold = 0.01;    // a change of the scale that is told
constexpr double kLineMemory = 4;      // seconds

}  // namespace

const char* Text(Why why) {
  switch (why) {
    case Why::kNone:
      return "none";
    case Why::kTeamBarred:
      return "the team has no budget";
    case Why::kClassBarred:
      return "the team may not use the class";
    case Why::kTeamFull:
      return "the team has too many waiting";
    case Why::kLineFull:
      return "too many are waiting";
    case Why::kTooLate:
      return "it could not start in time";
  }
  return "?";
}

Line::Line(Settings settings) : settings_(std::move(settings)), running_(ledger_) {
  class_off_.assign(settings_.classes.size(), 0);
  Configure(settings_, Time{});
}

void Line::Configure(Settings settings, Time now) {
  // A number that is another class's now: what was learnt of the one before is not this one's.
  for (std::size_t i = 0; i < std::min(class_off_.size(), settings.classes.size()); ++i) {
    if (settings_.classes[i].name != settings.classes[i].name) class_off_[i] = 0;
  }
  settings_ = std::move(settings);
  class_off_.resize(settings_.classes.size());
  priorities_.resize(settings_.classes.size(), 1);
  double least = HUGE_VAL;
  for (const ClassTerms& c : settings_.classes) least = std::min(least, std::max(1e-9, c.worth));
  heads_.clear();
  for (const ClassTerms& c : settings_.classes) {
    const double decades = std::log10(std::max(1e-9, c.worth) / least);
    heads_.push_back(FromSeconds(Seconds(settings_.ageing) * decades));
  }
  if (teams_.size() < settings_.teams.size()) teams_.resize(settings_.teams.size());
  for (TeamLine& team : teams_) {
    team.classes.resize(settings_.classes.size());
    team.coming.resize(settings_.classes.size(), Rate(kRateMemory));
  }
  settings_.teams.resize(teams_.size());
  SetFleet(fleet_, now);
}

void Line::SetFleet(double cores, Time now) {
  fleet_ = std::max(0.0, cores);
  Budgets();
  for (LaneState& lane : lanes_) lane.stale = true;
  // All that wait are looked at anew, within a second: estimates change, and some can't be done any more.
  sweep_.clear();
  for (const TeamLine& team : teams_) {
    for (const WorkIndex& line : team.classes) {
      for (WorkIndex::Place p = line.begin(); p < line.end(); ++p)
        if (line.At(p).here) sweep_.push_back(line.At(p).id);
    }
  }
  due_ = now;
}

void Line::Budgets() {
  const double before = scale_;
  scale_ = ledger_.Configure(settings_.teams, settings_.part, fleet_);
  if (std::abs(scale_ - before) <= kScaleTold) return;
  char text[160];
  if (scale_ < 1) {
    std::snprintf(text, sizeof text,
                  "budgets scaled to %.0f%%: they add up to more than the fleet's %.0f cores", scale_ * 100,
                  fleet_);
  } else {
    std::snprintf(text, sizeof text, "budgets whole again: the fleet has %.0f cores", fleet_);
  }
  said_.emplace_back(text);
}

Work Line::Expected(const Ticket& ticket) const {
  const ClassTerms& c = settings_.classes[ticket.klass];
  const Work usual = std::max<Work>(1us, c.usual);
  if (ticket.estimate <= Work::zero()) return usual;
  const double corrected = Seconds(ticket.estimate) * std::exp(class_off_[ticket.klass]);
  return std::clamp<Work>(FromSeconds(corrected), 1us, FromSeconds(Seconds(usual) * kEstimateMost));
}

Span Line::RunTime(const Request& r) const {
  return running_.RunTime(r.work, settings_.classes[r.klass].threads, priorities_[r.klass]);
}

Refuse Line::Refused(const Ticket& ticket, Why why, Span later) {
  ++teams_[ticket.team].refused;
  return {ticket.id, why, Advice(later)};
}

Span Line::Advice(Span later) const {
  later = std::max(kLaterLeast, later);
  return settings_.longest > Span::zero() ? std::min(later, settings_.longest) : later;
}

Estimate Line::Newcomer(Team team, Klass klass, Time now) {
  Request r;
  r.team = team;
  r.klass = klass;
  r.work = std::max<Work>(1us, settings_.classes[klass].usual);
  r.taken = r.latest = now;
  r.place = teams_[team].classes[klass].end();
  return Judge(r, now);
}

Span Line::ComeBack(Team team, Klass klass, Time now) {
  if (team >= teams_.size() || klass >= settings_.classes.size()) return settings_.longest;
  return Advice(Newcomer(team, klass, now).most);
}

Line::Taken Line::Take(const Ticket& ticket, Time now) {
  if (ticket.team >= teams_.size() || ticket.klass >= settings_.classes.size() ||
      requests_.contains(ticket.id))
    return {Refuse{ticket.id, Why::kTeamBarred, settings_.longest}, {}, {}};
  TeamLine& team = teams_[ticket.team];
  const TeamBudget& budget = settings_.teams[ticket.team];
  ++team.taken;
  Request r;
  r.team = ticket.team;
  r.klass = ticket.klass;
  r.watched = ticket.watched;
  r.work = Expected(ticket);
  r.taken = now;
  r.place = team.classes[r.klass].end();
  r.latest = ticket.give_up - RunTime(r);
  const Span most = settings_.classes[r.klass].wait_most;
  if (most > Span::zero()) r.latest = std::min(r.latest, now + most);
  if (budget.cores <= 0) return {Refused(ticket, Why::kTeamBarred, settings_.longest), {}, {}};
  if (std::count(budget.barred.begin(), budget.barred.end(), ticket.klass) > 0)
    return {Refused(ticket, Why::kClassBarred, settings_.longest), {}, {}};
  r.raw = Raw(r, now);
  const Estimate estimate = Judge(r, r.raw);
  // What blocks a newcomer goes at the pace that the estimate was made with.
  if (budget.waiting > 0 && team.size() >= budget.waiting)
    return {Refused(ticket, Why::kTeamFull, estimate.wait / static_cast<int>(1 + team.size() / 8)), {}, {}};
  if (waiting_ >= settings_.waiting) return {Refused(ticket, Why::kLineFull, estimate.wait / 8), {}, {}};
  if (now + estimate.most > r.latest && estimate.wait > Span::zero())
    return {Refused(ticket, Why::kTooLate, now + estimate.most - r.latest), {}, {}};
  // One that should run longer than its client waits, but can start at once, gets its chance: estimates lie.
  r.latest = std::max(r.latest, std::min(ticket.give_up, now + kAtOnce));
  const Lane lane = LaneOf(r.klass);
  r.place = team.classes[r.klass].Join(ticket.id, now, r.work);
  team.coming[r.klass].Add(Seconds(r.work));
  team.waiting[lane] += r.work;
  ++team.count[lane];
  ++waiting_;
  r.told = now + estimate.wait;
  Request& kept = requests_.emplace(ticket.id, r).first->second;
  Plan(ticket.id, kept, now, estimate.wait);
  due_ = now;
  return {std::nullopt, estimate, r.latest};
}

// ---- Estimates ----

double Line::FreeCores() const {
  const double own = fleet_ * settings_.part;
  const double held = running_.overrun_threads() / std::max(1.0, settings_.level * own);
  return own * std::max(0.3, 1 - kRunsOn * held);
}

Work Line::Ahead(const Request& r) const {
  const TeamLine& team = teams_[r.team];
  const Lane lane = LaneOf(r.klass);
  Work ahead{};
  for (Klass k = 0; k < team.classes.size(); ++k) {
    if (LaneOf(k) != lane || team.classes[k].empty()) continue;
    ahead += k == r.klass ? team.classes[k].Before(r.place)
                          : team.classes[k].TakenBefore(r.taken - HeadStart(r.klass) + HeadStart(k));
  }
  return ahead;
}

// A team that does not wait yet would catch up with the line, less its burst.
double Line::TagNow(Team t, Lane lane) const {
  const Ledger::Account& account = ledger_.at(t);
  if (teams_[t].count[lane] > 0) return account.tag;
  return std::max(account.tag, ledger_.line_tag() - account.burst);
}

void Line::Foresee(Lane lane, Time now) {
  LaneState& state = lanes_[lane];
  const bool grown = waiting_ > state.forecast_for + state.forecast_for / 8 + kForecastGrown;
  if (state.forecast.built() && now - state.forecast_at < kForecastAge && !state.stale && !grown) return;
  std::vector<Flow> flows(teams_.size());
  for (Team t = 0; t < teams_.size(); ++t) {
    flows[t].cores = ledger_.at(t).cores;
    flows[t].tag = TagNow(t, lane);
    flows[t].waiting = Seconds(teams_[t].waiting[lane]);
    for (Klass k = 0; k < teams_[t].coming.size(); ++k) {
      if (LaneOf(k) == lane) flows[t].coming += teams_[t].coming[k].per_second();
    }
  }
  const double pace = state.pace.Now(FreeCores());
  const double gap = lane == kHeavy && state.next_at > now ? Seconds(state.next_at - now) : 0;
  state.forecast.Build(flows, pace, std::max(gap, Seconds(state.handed_work) / pace));
  state.forecast_at = now;
  state.forecast_for = waiting_;
  state.stale = false;
}

Span Line::Raw(const Request& r, Time now) {
  const Lane lane = LaneOf(r.klass);
  LaneState& state = lanes_[lane];
  if (fleet_ <= 0) return r.latest - r.taken + 1s;
  const double pace = state.pace.Now(FreeCores());
  if (r.handed) return FromSeconds(Seconds(state.handed_work) / 2 / pace);
  const TeamLine& team = teams_[r.team];
  const bool open = !state.closed && state.handed.size() < Window(lane) && HasRoom(lane, now);
  const bool free = HasThreads(r.team, r.klass) && ledger_.WithinLead(r.team);
  if (team.count[lane] == 0 && open && free && !state.waited) return Span::zero();
  Foresee(lane, now);
  const double work = Seconds(Ahead(r));
  const Ledger::Account& account = ledger_.at(r.team);
  const double cores = std::max(1e-9, account.cores);
  const double tag = TagNow(r.team, lane);
  double wait = state.forecast.When(tag + work / cores);
  // What comes later and has a greater head start goes ahead, as long as its start reaches back.
  double overtaking = 0;
  for (int round = 0; round < 3; ++round) {
    overtaking = 0;
    for (Klass k = 0; k < team.coming.size(); ++k) {
      if (LaneOf(k) != lane || HeadStart(k) <= HeadStart(r.klass)) continue;
      const double left = Seconds(HeadStart(k) - HeadStart(r.klass) - (now - r.taken));
      overtaking += team.coming[k].per_second() * std::clamp(left, 0.0, wait);
    }
    if (overtaking <= 0) break;
    wait = state.forecast.When(tag + (work + overtaking) / cores);
  }
  // The others, served by whole requests, will be half a one past the common level when its turn comes.
  const double target = tag + (work + overtaking) / cores;
  double past_level = 0;
  for (Team t = 0; t < teams_.size(); ++t) {
    if (t != r.team && teams_[t].count[lane] > 0 && ledger_.at(t).tag < target)
      past_level += kOwnPart * Seconds(teams_[t].waiting[lane]) / static_cast<double>(teams_[t].count[lane]);
  }
  wait += past_level / pace;
  // Two limits that are the team's own: being ahead of the others, and its cap of threads.
  if (account.competing || ledger_.line_tag() > 0) {
    const double past = target - ledger_.line_tag() - ledger_.Lead(r.team);
    if (past > 0 && !ledger_.WithinLead(r.team)) wait = std::max(wait, past / std::max(0.1, line_rate_));
  }
  if (account.most_threads > 0 && !HasThreads(r.team, r.klass)) {
    const double each = running_.stretch(priorities_[r.klass]) / account.most_threads;
    wait = std::max(wait, Seconds(running_.FirstEnd(r.team, now)) + (work + overtaking) * each);
  }
  return FromSeconds(wait);
}

Estimate Line::Judge(const Request& r, Span raw) const {
  const Accuracy& accuracy = lanes_[LaneOf(r.klass)].accuracy;
  if (raw == Span::zero()) return {};
  const Span wait = accuracy.Corrected(raw);
  return {wait, accuracy.Most(wait)};
}

std::optional<Estimate> Line::EstimateOf(Id id, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.started) return std::nullopt;
  return Judge(it->second, now);
}

// ---- Handing over ----

bool Line::Competes(Team t) const {
  const TeamLine& team = teams_[t];
  if (!ledger_.MaySend(t)) return false;
  for (const Lane lane : {kHeavy, kLight}) {
    if (team.count[lane] > 0 && HasThreads(t, First(team, lane))) return true;
  }
  return false;
}

Klass Line::First(const TeamLine& team, Lane lane) const {
  Klass first = 0;
  Time least = Time::max();
  for (Klass k = 0; k < team.classes.size(); ++k) {
    if (LaneOf(k) != lane || team.classes[k].empty()) continue;
    const Time key = team.classes[k].front().taken - HeadStart(k);
    if (key < least) least = key, first = k;
  }
  return first;
}

// A request holds its threads from its hand-over to its end, also between two attempts: so that what goes on
// elsewhere finds them free. Attempts that outlive it hold theirs until they end.
bool Line::HasThreads(Team t, Klass klass) const {
  if (teams_[t].threads == 0) return true;  // one that is wider than the cap runs alone, or it never would
  return ledger_.HasThreads(t, teams_[t].threads + settings_.classes[klass].threads);
}

std::optional<Team> Line::Next(Lane lane) const {
  std::optional<Team> next;
  for (Team t = 0; t < teams_.size(); ++t) {
    if (teams_[t].count[lane] == 0 || !ledger_.MaySend(t) || !ledger_.WithinLead(t)) continue;
    if (!HasThreads(t, First(teams_[t], lane))) continue;
    if (!next || ledger_.at(t).tag < ledger_.at(*next).tag) next = t;
  }
  return next;
}

// Heavy queries run beside each other up to a level a core: past it an engine shares out the same work more
// thinly, and the module's bound would stop and start the line. Near the level they leave evenly, by the work
// of the one before, and faster or slower as fewer or more run than wanted: started by each end of a query,
// they would leave in bursts that no estimate foresees.
bool Line::HasRoom(Lane lane, Time now) const {
  const double wanted = settings_.level * fleet_ * settings_.part;
  // Light ones seldom come near: but a flood of them must not thin out all that runs.
  if (lane == kLight) return lane_threads_[kLight] < wanted;
  if (lane_threads_[kHeavy] < kFreely * wanted) return true;
  return lane_threads_[kHeavy] < kMost * wanted && now >= lanes_[lane].next_at;
}

Span Line::Gap(Lane lane, Work work) const {
  const double wanted = std::max(1.0, settings_.level * fleet_ * settings_.part);
  const double off = std::clamp((wanted - lane_threads_[kHeavy]) / wanted, -0.5, 0.5);
  return FromSeconds(Seconds(work) / (lanes_[lane].pace.Now(FreeCores()) * (1 + kSteer * off)));
}

std::size_t Line::Window(Lane lane) const {
  const auto wanted = static_cast<std::size_t>(lanes_[lane].starts.per_second() * kWindowSeconds);
  return std::clamp(wanted, kWindowLeast[lane], kWindowMost);
}

void Line::HandOver(Lane lane, Time now, std::vector<Decision>& out) {
  LaneState& state = lanes_[lane];
  while (fleet_ > 0 && !state.closed && state.handed.size() < Window(lane) && HasRoom(lane, now)) {
    for (Team t = 0; t < teams_.size(); ++t) ledger_.SetCompeting(t, Competes(t));
    const std::optional<Team> next = Next(lane);
    if (!next) break;
    TeamLine& team = teams_[*next];
    const Klass klass = First(team, lane);
    const Id id = team.classes[klass].front().id;
    Request& r = requests_.at(id);
    Unqueue(r);
    r.handed = true;
    r.charged = r.work;
    ledger_.Charge(r.team, r.work);
    ++team.handed;
    team.threads += settings_.classes[klass].threads;
    state.handed.push_back(id);
    lane_threads_[lane] += settings_.classes[klass].threads;
    if (lane == kHeavy) state.next_at = std::max(state.next_at, now - kCatchUp) + Gap(lane, r.work);
    out.emplace_back(Hand{id});
  }
  const bool waits = std::any_of(teams_.begin(), teams_.end(),
                                 [lane](const TeamLine& team) { return team.count[lane] > 0; });
  state.waited = state.waited && waits;
}

void Line::Watch(Lane lane, Time now) {
  LaneState& state = lanes_[lane];
  const auto stuck = std::find_if(state.handed.begin(), state.handed.end(),
                                  [&](Id id) { return requests_.at(id).passed >= kPassedMost; });
  if (stuck == state.handed.end()) {
    state.closed = false;
  } else if (!state.closed) {
    state.closed = true;
    state.closed_since = now;
  } else if (now - state.closed_since >= kClosedMost) {
    Request& r = requests_.at(*stuck);  // counts no more: others go on without it
    Unhand(*stuck, r);
    state.closed = false;
  }
}

void Line::Unqueue(Request& r) {
  const Lane lane = LaneOf(r.klass);
  TeamLine& team = teams_[r.team];
  team.classes[r.klass].Leave(r.place);
  team.waiting[lane] -= r.work;
  --team.count[lane];
  --waiting_;
}

void Line::Unhand(Id id, Request& r) {
  LaneState& state = lanes_[LaneOf(r.klass)];
  if (std::erase(state.handed, id) > 0) state.handed_work -= r.work;
}

void Line::Sent(Id id, int attempt, int priority, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.handed) return;
  Request& r = it->second;
  LaneState& lane = lanes_[LaneOf(r.klass)];
  if (!r.started) {
    r.started = true;
    priorities_[r.klass] = priority;
    for (const Id other : lane.handed) {
      if (other == id) break;
      ++requests_.at(other).passed;
    }
    Unhand(id, r);
    lane.pace.Started(r.work);
    lane.starts.Add(1);
    lane.accuracy.Learn(r.raw, now - r.taken);
  }
  ++r.out;
  running_.Begin({id, attempt, r.team, settings_.classes[r.klass].threads, settings_.classes[r.klass].light,
                  r.work, r.charged},
                 now);
  r.charged = Work::zero();
  due_ = std::min(due_, now);
}

void Line::Ended(Id id, int attempt, Work told, bool ran, Time now) {
  const auto ended = running_.End(id, attempt, told, ran, now);
  if (!ended) return;
  due_ = std::min(due_, now);
  const auto it = requests_.find(id);
  if (it == requests_.end()) teams_[ended->team].threads -= ended->threads;
  if (it != requests_.end()) --it->second.out;
  if (it == requests_.end() || told <= Work::zero()) return;
  const Request& r = it->second;
  const double off = std::log(Seconds(told) / std::max(1e-6, Seconds(r.work)));
  double& mean = class_off_[r.klass];
  mean = std::clamp(mean + kOffWeight * std::clamp(off, -kOffMost, kOffMost), -2.0, 2.0);
}

void Line::Done(Id id, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  if (!r.handed) Unqueue(r);
  if (r.handed && !r.started) Unhand(id, r);
  if (r.handed) teams_[r.team].threads += (r.out - 1) * settings_.classes[r.klass].threads;
  if (r.handed) lane_threads_[LaneOf(r.klass)] -= settings_.classes[r.klass].threads;
  if (r.charged > Work::zero()) ledger_.Charge(r.team, -r.charged);  // handed over, never sent
  requests_.erase(it);
  due_ = std::min(due_, now);
}

// ---- Steps ----

void Line::Step(Time now, std::vector<Decision>& out) {
  if (!begun_) beat_ = now, begun_ = true;
  if (now - beat_ >= kBeat) Beat(now);
  for (std::string& text : said_) out.emplace_back(Say{std::move(text)});
  said_.clear();
  Check(now, out);
  for (const Lane lane : {kLight, kHeavy}) {
    Watch(lane, now);
    HandOver(lane, now, out);
  }
  const bool busy =
      waiting_ > 0 || running_.size() > 0 || !lanes_[0].handed.empty() || !lanes_[1].handed.empty();
  due_ = busy || !requests_.empty() ? beat_ + kBeat : Time::max();
  if (lanes_[kHeavy].next_at > now && waiting_ > 0) due_ = std::min(due_, lanes_[kHeavy].next_at);
  if (!sweep_.empty()) due_ = std::min(due_, now + 5ms);
}

void Line::Beat(Time now) {
  const Span window = now - beat_;
  beat_ = now;
  running_.ChargeOverruns(now);
  const double cores = FreeCores();
  for (LaneState& lane : lanes_) {
    lane.pace.Close(window, lane.waited, fleet_ > 0 ? cores : 0);
    lane.starts.Close(Seconds(window), true);
    lane.waited = true;  // unless a hand-over finds that nothing waits
    lane.stale = true;
  }
  for (TeamLine& team : teams_) {
    for (Rate& rate : team.coming) rate.Close(Seconds(window), true);
  }
  for (Team t = 0; t < teams_.size(); ++t) ledger_.SetCompeting(t, Competes(t));
  const double moved = std::max(0.0, ledger_.line_tag() - line_seen_) / Seconds(window);
  line_seen_ = ledger_.line_tag();
  line_rate_ += (1 - std::exp(-Seconds(window) / kLineMemory)) * (std::min(moved, 20.0) - line_rate_);
}

void Line::Check(Time now, std::vector<Decision>& out) {
  std::size_t left = kLooksAStep;
  for (; !sweep_.empty() && left > 0; --left) {
    const Id id = sweep_.back();  // the last to go are the ones that most likely can't
    sweep_.pop_back();
    if (const auto it = requests_.find(id); it != requests_.end()) Look(id, it->second, now, out, false);
  }
  for (Id id = 0; left > 0 && checks_.Take(now, id); --left) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.handed) continue;
    if (it->second.check > now + Wheel::kSlot)
      checks_.Add(it->second.check, id);  // past the wheel's turn, or looked at since
    else
      Look(id, it->second, now, out, true);
  }
}

void Line::Look(Id id, Request& r, Time now, std::vector<Decision>& out, bool plan) {
  if (r.handed) return;
  const Ticket ticket{id, r.team, r.klass, r.work, r.latest, r.watched};
  const TeamBudget& budget = settings_.teams[r.team];
  const bool barred = budget.cores <= 0;
  const bool barred_class = std::count(budget.barred.begin(), budget.barred.end(), r.klass) > 0;
  const Estimate estimate = Judge(r, now);
  const bool late = now + Wheel::kSlot >= r.latest ||
                    now + lanes_[LaneOf(r.klass)].accuracy.Least(estimate.wait) > r.latest;
  if (barred || barred_class || late) {
    const Why why = barred ? Why::kTeamBarred : barred_class ? Why::kClassBarred : Why::kTooLate;
    Unqueue(r);
    Request again = r;  // if it came back now it would stand behind all of its class
    again.place = teams_[r.team].classes[r.klass].end();
    again.taken = now;
    const Span patience = r.latest - r.taken;
    const Span later = why == Why::kTooLate ? Judge(again, now).most - patience : settings_.longest;
    out.emplace_back(Refused(ticket, why, later));
    requests_.erase(id);
    return;
  }
  const Time start = now + estimate.wait;
  const Span off = start > r.told ? start - r.told : r.told - start;
  if (off > std::max(kChangedLeast, FromSeconds(kChanged * Seconds(estimate.wait)))) {
    r.told = start;
    if (r.watched) out.emplace_back(Tell{id, estimate});
  }
  if (plan) Plan(id, r, now, estimate.wait);  // else it is planned already
}

// A watched one is looked at often enough to tell of changes, ever more often as its start comes near;
// another when it should have started, or later: it can't be too late before half of its slack is gone. What
// changes for all at once, the fleet or the budgets, is swept apart.
void Line::Plan(Id id, Request& r, Time now, Span wait) {
  const Span slack = r.latest - now - wait;
  const Span until = r.watched ? wait / 3 : std::max(wait + wait / 4, slack / 2);
  r.check = std::min(now + std::max(kLookLeast, until), std::max(now, r.latest));
  checks_.Add(r.check, id);
}

Line::State Line::Describe(Time now) {
  State state;
  state.fleet_cores = fleet_;
  state.scale = scale_;
  state.waiting = waiting_;
  state.running = running_.size();
  state.overrun_threads = running_.overrun_threads();
  for (const Lane lane : {kHeavy, kLight}) {
    state.pace[lane] = lanes_[lane].pace.Now(FreeCores());
    state.spread[lane] = lanes_[lane].accuracy.spread();
    state.handed += lanes_[lane].handed.size();
  }
  for (Team t = 0; t < teams_.size(); ++t) {
    const TeamLine& team = teams_[t];
    const Ledger::Account& account = ledger_.at(t);
    TeamState told;
    told.name = settings_.teams[t].name;
    told.cores = account.cores;
    told.charged = Seconds(account.charged);
    told.tag = account.tag;
    told.threads = account.threads;
    told.waiting = team.size();
    told.work = team.waiting[kHeavy] + team.waiting[kLight];
    for (Klass k = 0; k < team.classes.size() && account.cores > 0; ++k) {
      told.longest = std::max(told.longest, Newcomer(t, k, now).wait);
    }
    told.taken = team.taken;
    told.handed = team.handed;
    told.refused = team.refused;
    state.teams.push_back(std::move(told));
  }
  return state;
}

std::size_t Line::bytes() const {
  std::size_t bytes = requests_.bucket_count() * sizeof(void*);
  bytes += requests_.size() * (sizeof(std::pair<const Id, Request>) + 2 * sizeof(void*));
  bytes += checks_.size() * sizeof(Id) + sweep_.size() * sizeof(Id);
  for (const TeamLine& team : teams_) {
    for (const WorkIndex& line : team.classes) bytes += line.bytes();
  }
  return bytes;
}

}  // namespace lemoncroft::admission_queue
