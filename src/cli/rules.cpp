#include "cli/rules.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "cli/config.h"
#include "cli/state.h"
#include "raft/codec.h"

namespace lemoncroft::cli {

using nlohmann::ordered_json;
using replicated_config::Document;
using replicated_config::Version;
using runtime::Now;
using runtime::Span;
using runtime::Task;
using runtime::Time;
using namespace std::chrono_literals;

namespace {

constexpr auto kTellBeat = 50ms;         // of what the others are told of this proxy
constexpr auto kHeldAgain = 200ms;       // a store that another process of this proxy still has
constexpr auto kFailedAgain = 2000ms;    // one that failed
constexpr auto kByHandPatience = 850ms;  // of an operator's call
constexpr auto kReconcileAgain = 100ms, kRefusedAgain = 2000ms;
constexpr auto kChangePatience = 4000ms, kForwardPatience = 1500ms;
constexpr std::size_t kWaitingMost = 64;
constexpr std::uint64_t kFoundersNumber = (std::uint64_t{1} << 40) - 1, kEpochShift = 40;
constexpr const char* kVoterKey = "store";
constexpr const char* kRulesKey = "rules";

std::uint64_t Draw() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

std::int64_t MonoUs(Time at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

// ---- A voter's store: records "store", "founders", "promise", "snapshot", and the log ----

std::string FoundersText(const replicated_config::Founders& founders) {
  std::string out;
  for (const auto& [name, store] : founders) out += name + " " + std::to_string(store) + "\n";
  return out;
}

replicated_config::Founders ReadFounders(const std::string& text) {
  replicated_config::Founders founders;
  std::istringstream in(text);
  std::string name;
  for (std::uint64_t store = 0; in >> name >> store;) founders[name] = store;
  return founders;
}

storage::Batch BatchOf(const raft::StorageUpdate& store) {
  storage::Batch batch;
  batch.records.emplace_back("promise", raft::Encode(store.hard_state));
  if (store.replaces_log) {
    batch.records.emplace_back("snapshot", raft::Encode(store.snapshot));
    batch.cut_before = store.snapshot.index;
  }
  batch.cut_behind = store.replaces_log ? store.snapshot.index : store.truncate_after;
  for (const raft::Entry& entry : store.entries) batch.log.emplace_back(entry.index, raft::Encode(entry));
  return batch;
}

// Nothing where it holds what is none of ours.
std::optional<replicated_config::Stored> StoredOf(const storage::Contents& contents) {
  replicated_config::Stored out;
  const auto record = [&](const char* name) -> std::string {
    const auto it = contents.records.find(name);
    return it == contents.records.end() ? std::string() : it->second;
  };
  const std::string store = record("store"), promise = record("promise"), snapshot = record("snapshot");
  std::from_chars(store.data(), store.data() + store.size(), out.store);
  out.founders = ReadFounders(record("founders"));
  if (!promise.empty()) {
    const auto read = raft::DecodeHardState(promise);
    if (!read) return std::nullopt;
    out.durable.hard_state = *read;
  }
  if (!snapshot.empty()) {
    auto read = raft::DecodeSnapshot(snapshot);
    if (!read) return std::nullopt;
    out.durable.snapshot = std::move(*read);
  }
  for (const auto& [number, bytes] : contents.log) {
    auto entry = raft::DecodeEntry(bytes);
    const raft::Index before =
        out.durable.log.empty() ? out.durable.snapshot.index : out.durable.log.back().index;
    if (!entry || entry->index != number || number != before + 1) return std::nullopt;
    out.durable.log.push_back(std::move(*entry));
  }
  return out;
}

ordered_json Json(const replicated_config::Outcome& outcome) {
  return {{"id", outcome.id},
          {"verdict", replicated_config::NameOf(outcome.verdict)},
          {"version", outcome.version},
          {"why", outcome.why}};
}

std::string Dump(const ordered_json& json) {
  return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string Error(const std::string& text) { return Dump({{"error", text}}); }

}  // namespace

replicated_config::KeeperTerms Rules::TermsOf(const operator_config::RulesSettings& settings,
                                              const std::string& name) {
  replicated_config::KeeperTerms terms;
  terms.self = name;
  terms.first = settings.voters;
  terms.lease.lease = settings.lease;
  terms.lease.beat = settings.beat;
  terms.format = replicated_config::kFormat;
  return terms;
}

replicated_config::Keeper::Checks Rules::ChecksOf() {
  replicated_config::Keeper::Checks checks;
  checks.check = [](const replicated_config::Written* from, const std::string& text) -> std::string {
    const auto to = replicated_config::ReadDocument(text);
    if (const auto* wrong = std::get_if<std::string>(&to)) return *wrong;
    if (from == nullptr) return {};
    const auto before = replicated_config::ReadDocument(from->text);
    const auto* good = std::get_if<Document>(&before);
    return good == nullptr ? std::string() : replicated_config::CheckSuccessor(*good, std::get<Document>(to));
  };
  checks.carry = [this](const std::string& text) -> std::string {
    const auto to = replicated_config::ReadDocument(text);
    if (const auto* wrong = std::get_if<std::string>(&to)) return *wrong;
    return replicated_config::WhyNot(std::get<Document>(to), own_.site(), own_.line());
  };
  checks.format = [](const std::string& text) -> std::uint64_t {
    const auto document = replicated_config::ReadDocument(text);
    const auto* good = std::get_if<Document>(&document);
    return good == nullptr ? 0 : good->format;
  };
  checks.lasts = [](const std::string& text) -> Span {
    const auto document = replicated_config::ReadDocument(text);
    const auto* good = std::get_if<Document>(&document);
    return good == nullptr ? Span() : good->cut_off.lasts;
  };
  return checks;
}

Rules::Rules(runtime::Loop& loop, Fleet& fleet, const operator_config::RulesSettings& settings,
             const std::string& name, discovery::Directory& directory, discovery::Directory::Tell tell,
             Own own)
    : loop_(loop),
      fleet_(fleet),
      settings_(settings),
      name_(name),
      directory_(directory),
      tell_(std::move(tell)),
      own_(std::move(own)),
      keeper_(TermsOf(settings, name), fleet.view().members().self(), ChecksOf(), Draw(), Now()),
      tell_pace_(Draw()) {
  const bool votes = std::find(settings.voters.begin(), settings.voters.end(), name) != settings.voters.end();
  if (votes && settings.store.empty())
    throw ConfigError("rules: " + name + " is one of the voters: it needs a `store`");
  if (!settings.store.empty())
    worker_ = std::make_unique<storage::Worker>(
        loop, storage::Database::Terms{settings.store, fleet.settings().name + "/" + name});
  fleet_.link().on_app_message = [this](const peer_transport::AppMessage& message) {
    if (message.subsystem != peer_transport::Subsystem::kReplicatedConfig) return;
    if (const auto note = replicated_config::DecodeNote(message.bytes)) {
      keeper_.Receive(Now(), message.sender, *note);
      Pump();
    }
  };
  fleet_.link().on_call = [this](std::string bytes) { return Called(std::move(bytes)); };
}

void Rules::Start() {
  if (worker_) {
    opening_ = true;
    worker_->Open();
    loop_.Spawn(Store());
  }
  loop_.Spawn(Beat());
  loop_.Spawn(Tell());
  loop_.Spawn(Reconcile());
}

void Rules::End() {
  keeper_.Resign(Now());
  Pump();
}

Task<> Rules::Beat() {
  for (;;) {
    planned_ = keeper_.due();
    if (planned_ > Now()) co_await runtime::Waiter(loop_, &sooner_, planned_);
    planned_ = runtime::kNever;
    if (keeper_.due() <= Now()) {
      keeper_.Step(Now());
      Pump();
    }
    co_await loop_.NextTurn();
  }
}

void Rules::Pump() {
  for (auto outputs = keeper_.Take(); !outputs.empty(); outputs = keeper_.Take())
    for (const replicated_config::KeeperOutput& output : outputs) CarryOut(output);
  if (keeper_.due() < planned_) sooner_.Open();
}

// The process of that name that has the store, where two live.
const gossip::Member* Rules::Reach(const raft::NodeId& name) const {
  const gossip::Member* best = nullptr;
  const auto rank = [](const gossip::Member& m) {
    const bool store = std::any_of(m.record.attributes.begin(), m.record.attributes.end(),
                                   [](const gossip::Attribute& a) { return a.key == kVoterKey; });
    const bool lives = m.status == gossip::Status::kAlive || m.status == gossip::Status::kSuspect;
    return std::tuple(lives, store, m.record.generation);
  };
  for (const auto& [id, member] : fleet_.view().members().all())
    if (member.record.name == name && (best == nullptr || rank(member) > rank(*best))) best = &member;
  return best;
}

void Rules::CarryOut(const replicated_config::KeeperOutput& output) {
  if (const auto* post = std::get_if<replicated_config::Post>(&output)) {
    const auto* name = std::get_if<raft::NodeId>(&post->to);
    const gossip::Member* to =
        name != nullptr ? Reach(*name)
                        : fleet_.view().members().Find(std::get<replicated_config::Instance>(post->to));
    if (to != nullptr)
      fleet_.link().Send(to->record.address, peer_transport::Subsystem::kReplicatedConfig,
                         replicated_config::Encode(post->note));
  } else if (const auto* keep = std::get_if<replicated_config::Keep>(&output)) {
    Write(keep->store.number, BatchOf(keep->store));
  } else if (const auto* founders = std::get_if<replicated_config::KeepFounders>(&output)) {
    storage::Batch batch;
    batch.records.emplace_back("founders", FoundersText(founders->founders));
    Write(kFoundersNumber, std::move(batch));
  } else if (const auto* learnt = std::get_if<replicated_config::Learnt>(&output)) {
    const auto document = replicated_config::ReadDocument(learnt->text);
    const auto* wrong = std::get_if<std::string>(&document);
    const std::string why =
        wrong != nullptr ? *wrong
                         : replicated_config::WhyNot(std::get<Document>(document), own_.site(), own_.line());
    if (why.empty()) {
      spdlog::info("rules event=prepared version={} mono_us={}", learnt->version, MonoUs(Now()));
      keeper_.Prepared(Now(), learnt->version);
    } else {
      spdlog::error("rules: this proxy can't carry version {}: {}", learnt->version, why);
      keeper_.CantCarry(learnt->version);
    }
  } else if (const auto* in_force = std::get_if<replicated_config::InForce>(&output)) {
    PutInForce(in_force->version);
  } else if (const auto* finished = std::get_if<replicated_config::Finished>(&output)) {
    const auto it = waiting_.find(finished->outcome.id);
    if (it == waiting_.end()) return;
    it->second->finished = *finished;
    it->second->gate.Open();
  } else if (const auto* say = std::get_if<replicated_config::Say>(&output)) {
    spdlog::log(say->warn ? spdlog::level::warn : spdlog::level::info, "rules: {} mono_us={}", say->text,
                MonoUs(Now()));
  }
}

// ---- The store ----

void Rules::Write(std::uint64_t number, storage::Batch batch) {
  if (!worker_->Write(epoch_ << kEpochShift | number, std::move(batch)))
    StepBack("the disk is too slow: " + std::to_string(worker_->queued()) + " batches wait for it");
}

void Rules::StepBack(const std::string& why) {
  if (opening_) return;
  ++stepped_back_;
  spdlog::error("rules: this voter steps back: {}", why);
  keeper_.CloseStore();
  opening_ = true;
  loop_.Spawn(OpenAgain(kFailedAgain));
}

Task<> Rules::OpenAgain(Span after) {
  co_await loop_.Sleep(after);
  worker_->Open();
}

Task<> Rules::Store() {
  for (;;) {
    storage::Worker::Done done = co_await worker_->Next();
    if (done.opened) {
      Opened(done);
    } else if (done.number >> kEpochShift == epoch_ && !opening_) {
      slowest_sync_ = std::max(slowest_sync_, done.took);
      if (done.health != storage::Health::kDone)
        StepBack(std::string(storage::NameOf(done.health)) + ": " + done.why);
      else if (const std::uint64_t number = done.number & kFoundersNumber; number == kFoundersNumber)
        keeper_.FoundersKept(Now());
      else if (number > 0)
        keeper_.Durable(Now(), number);
    }
    Pump();
  }
}

void Rules::Opened(storage::Worker::Done& done) {
  std::optional<replicated_config::Stored> stored;
  if (done.health == storage::Health::kDone) {
    stored = StoredOf(done.contents);
    if (!stored)
      done.why = settings_.store + ": holds what is none of ours", done.health = storage::Health::kDamaged;
  }
  if (!stored) {
    if (!std::exchange(told_closed_, true))
      spdlog::warn("rules: the store can't be opened, this voter waits: {}: {}", storage::NameOf(done.health),
                   done.why);
    loop_.Spawn(OpenAgain(done.health == storage::Health::kHeld ? Span(kHeldAgain) : Span(kFailedAgain)));
    return;
  }
  opening_ = told_closed_ = false;
  ++epoch_;
  if (stored->store == 0) {
    stored->store = Draw();
    storage::Batch batch;
    batch.records.emplace_back("store", std::to_string(stored->store));
    Write(0, std::move(batch));
  }
  spdlog::info(
      "rules: store {} opened, log up to {}", settings_.store,
      stored->durable.log.empty() ? stored->durable.snapshot.index : stored->durable.log.back().index);
  fleet_.link().SetAttribute(kVoterKey, "1");
  keeper_.OpenStore(Now(), std::move(*stored));
}

// ---- What is in force ----

void Rules::PutInForce(Version version) {
  const std::string* text = keeper_.Text(version);
  const auto read = text == nullptr ? std::variant<Document, std::string>(Document())
                                    : replicated_config::ReadDocument(*text);
  const auto* document = std::get_if<Document>(&read);
  if (document == nullptr || (text == nullptr && version > 0)) return;
  try {
    own_.put_in_force(*document);
  } catch (const std::exception& e) {
    spdlog::error("rules: version {} can't be put in force here: {}", version, e.what());
    return;
  }
  document_ = *document;
  applied_ = version;
  std::erase_if(hands_,
                [&](const auto& hand) { return hand.second.taken > 0 && hand.second.taken <= version; });
  PutOut();
  spdlog::info("rules event=in_force version={} mono_us={}", version, MonoUs(Now()));
}

void Rules::PutOut() {
  // What is asked for here holds here at once where it sends less, and once it is in force where it sends
  // more.
  std::set<std::string> out = document_.out;
  for (const auto& [engine, hand] : hands_)
    if (hand.out) out.insert(engine);
  directory_.TakeOver(out, {}, tell_);
}

std::optional<Version> Rules::MayAct() const {
  const std::optional<Version> version = keeper_.MayAct(Now());
  return version && *version == applied_ ? version : std::nullopt;
}

// Cut off: what the version itself lets go on, for the time that it says.
bool Rules::Kept(const std::string& klass, EngineId engine) const {
  const replicated_config::CutOff& cut_off = document_.cut_off;
  const replicated_config::Holder& holder = keeper_.holder();
  if (!cut_off.classes.contains(klass) || applied_ != holder.in_force() || holder.rates_apart()) return false;
  if (Now() >= holder.lease_ends() + cut_off.lasts) return false;
  if (engine == 0) return true;
  const discovery::Member* member = directory_.Find(engine);
  return member != nullptr && cut_off.engines.contains(member->name);
}

bool Rules::Takes(const std::string& klass) {
  if (MayAct() || Kept(klass, 0)) return true;
  ++forbidden_;
  return false;
}

bool Rules::Allows(const std::string& klass, EngineId engine) { return MayAct() || Kept(klass, engine); }

bool Rules::Acts(const std::string& klass, EngineId engine, bool again) {
  const std::optional<Version> version = MayAct();
  const bool kept = !version && Kept(klass, engine) && !again;  // once, where it is cut off
  if (!version && !kept) {
    ++forbidden_;
    return false;
  }
  ++(kept ? kept_acts_ : acts_);
  const discovery::Member* member = directory_.Find(engine);
  spdlog::debug("rules act={} version={} class={} engine={} mono_us={}",
                kept    ? "kept"
                : again ? "again"
                        : "send",
                version.value_or(applied_), klass, member == nullptr ? "-" : member->name, MonoUs(Now()));
  return true;
}

std::string Rules::WhyNot(const settings::Site& site, const admission_queue::Settings* line) const {
  return replicated_config::WhyNot(document_, site, line);
}

// What the others are told of this proxy, and the log of its being cut off.
Task<> Rules::Tell() {
  for (;; co_await loop_.Sleep(kTellBeat)) {
    const bool cut_off = !MayAct();
    if (std::exchange(cut_off_, cut_off) != cut_off)
      spdlog::log(cut_off ? spdlog::level::warn : spdlog::level::info,
                  "rules event={} version={} lease_ms={} mono_us={}", cut_off ? "cut_off" : "leased",
                  applied_,
                  std::chrono::duration_cast<std::chrono::milliseconds>(keeper_.holder().lease_ends() - Now())
                      .count(),
                  MonoUs(Now()));
    const std::string shown = std::to_string(applied_) + "/" + std::to_string(keeper_.holder().prepared()) +
                              (cut_off ? "/cut-off" : "");
    const gossip::MemberTable& members = fleet_.view().members();
    if (tell_pace_.MayTell(Now(), shown != shown_, members.live_count())) {
      shown_ = shown;
      fleet_.link().SetAttribute(kRulesKey, shown);
    }
    if (std::exchange(peers_as_of_, members.change_count()) != members.change_count()) SetPeers();
  }
}

void Rules::SetPeers() {
  std::vector<replicated_config::Instance> others;
  const gossip::MemberTable& members = fleet_.view().members();
  for (const auto& [id, member] : members.all())
    if (member.status == gossip::Status::kAlive && id != members.self()) others.push_back(id);
  keeper_.SetPeers(std::move(others));
}

std::vector<std::pair<std::string, std::uint64_t>> Rules::Figures() const {
  const replicated_config::Holder& holder = keeper_.holder();
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(holder.lease_ends() - Now()).count();
  return {{"rules.version", applied_},
          {"rules.newest", holder.newest()},
          {"rules.prepared", holder.prepared()},
          {"rules.leased", MayAct() ? 1 : 0},
          {"rules.lease_left_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(0, left))},
          {"rules.leads", keeper_.Leads(Now()) ? 1 : 0},
          {"rules.votes", keeper_.raft() != nullptr ? 1 : 0},
          {"rules.acts", acts_},
          {"rules.acts_kept", kept_acts_},
          {"rules.forbidden", forbidden_},
          {"rules.stepped_back", stepped_back_},
          {"rules.slowest_sync_ms",
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(slowest_sync_).count())}};
}

// ---- Changes ----

std::string Rules::DrawId() const {
  return fmt::format("{}-{:08x}-{}", name_.substr(0, 24),
                     static_cast<std::uint32_t>(fleet_.view().members().self() >> 32), ++ids_);
}

Task<replicated_config::Finished> Rules::Await(std::string id) {
  const auto waiting = waiting_.at(id);
  while (!waiting->finished) co_await runtime::Waiter(loop_, &waiting->gate, runtime::kNever);
  waiting_.erase(id);
  co_return *waiting->finished;
}

Task<replicated_config::Finished> Rules::Propose(replicated_config::Change change, Span patience) {
  std::string id = change.id;
  if (waiting_.size() >= kWaitingMost || waiting_.contains(id))
    co_return replicated_config::Finished{
        {id, replicated_config::Verdict::kRefused, 0, "too many calls at once"}, {}};
  waiting_[id] = std::make_shared<Waiting>();
  keeper_.ProposeChange(Now(), change, Now() + patience);
  Pump();
  co_return co_await Await(id);
}

Document Rules::NewestDocument() const {
  const std::string* text = keeper_.Text(keeper_.holder().newest());
  if (text == nullptr) return {};
  auto read = replicated_config::ReadDocument(*text);
  const auto* good = std::get_if<Document>(&read);
  return good == nullptr ? Document() : *good;
}

// Until the fleet has agreed on what was asked for here.
Task<> Rules::Reconcile() {
  for (;;) {
    const bool open =
        std::any_of(hands_.begin(), hands_.end(), [](const auto& h) { return h.second.taken == 0; });
    if (!open) {
      co_await runtime::Waiter(loop_, &hands_changed_, runtime::kNever);
      continue;
    }
    const Version newest = keeper_.holder().newest();
    if (newest > 0 && keeper_.Text(newest) == nullptr) {
      co_await loop_.Sleep(kReconcileAgain);
      continue;
    }
    const std::map<std::string, Hand> wanted = hands_;
    Document document = NewestDocument();
    const Document before = document;
    std::string by = name_;
    for (const auto& [engine, hand] : wanted) {
      if (hand.out ? document.out.insert(engine).second : document.out.erase(engine) > 0)
        by += std::string(hand.out ? " exclude " : " include ") + engine;
    }
    replicated_config::Finished finished;
    finished.outcome.verdict = replicated_config::Verdict::kTaken;
    finished.outcome.version = newest;
    if (document != before) {
      replicated_config::Change change;
      change.id = DrawId();
      change.from = newest;
      change.text = replicated_config::WriteDocument(document);
      change.by = by.substr(0, replicated_config::kByMost);
      change.at_unix_ms = UnixMs();
      finished = co_await Propose(std::move(change), kChangePatience);
    }
    if (finished.outcome.verdict == replicated_config::Verdict::kTaken) {
      for (const auto& [engine, hand] : wanted) {
        const auto it = hands_.find(engine);
        if (it == hands_.end() || it->second.out != hand.out) continue;
        it->second.taken = std::max<Version>(1, finished.outcome.version);
        if (it->second.taken <= applied_) hands_.erase(it);
      }
      PutOut();
      continue;
    }
    const bool refused = finished.outcome.verdict == replicated_config::Verdict::kRefused;
    for (const auto& [engine, hand] : wanted)
      if (const auto it = hands_.find(engine); it != hands_.end()) it->second.why = finished.outcome.why;
    co_await loop_.Sleep(refused ? Span(kRefusedAgain) : Span(kReconcileAgain));
  }
}

Task<admin::Reply> Rules::ByHand(admin::Call call, admin::Reply reply) {
  using admin::Verb;
  if (!reply.yes || (call.verb != Verb::kExclude && call.verb != Verb::kInclude)) co_return reply;
  hands_[call.engine] = {call.verb == Verb::kExclude, 0, {}};
  hands_changed_.Open();
  const Time last = Now() + kByHandPatience;
  for (;;) {
    const auto it = hands_.find(call.engine);
    if (it == hands_.end() || it->second.taken > 0) {
      const Version version = it == hands_.end() ? keeper_.holder().newest() : it->second.taken;
      reply.why = "for the fleet, version " + std::to_string(version);
      co_return reply;
    }
    if (Now() >= last || !it->second.why.empty()) break;
    co_await loop_.Sleep(10ms);
  }
  const auto it = hands_.find(call.engine);
  reply.why = std::string(call.verb == Verb::kExclude ? "here; " : "later; ") +
              "the fleet has not agreed yet and is asked again until it does" +
              (it == hands_.end() || it->second.why.empty() ? std::string() : ": " + it->second.why);
  std::replace(reply.why.begin(), reply.why.end(), '\n', ' ');
  co_return reply;
}

// ---- Operators' calls ----

std::string Rules::StatusText() const {
  const replicated_config::Holder& holder = keeper_.holder();
  const Time now = Now();
  const auto ms = [](Span span) { return std::chrono::duration<double, std::milli>(span).count(); };
  ordered_json out = {{"proxy", name_},
                      {"fleet", fleet_.settings().name},
                      {"at_unix_ms", UnixMs()},
                      {"mono_us", MonoUs(now)},
                      {"version", applied_},
                      {"in_force", holder.in_force()},
                      {"newest", holder.newest()},
                      {"prepared", holder.prepared()},
                      {"cut_off", !MayAct()},
                      {"lease_left_ms", ms(holder.lease_ends() - now)},
                      {"rates_apart", holder.rates_apart()},
                      {"leader", keeper_.leader()},
                      {"leads", keeper_.Leads(now)},
                      {"votes", keeper_.raft() != nullptr},
                      {"asked_by_hand", ordered_json::object()},
                      {"proxies", ordered_json::array()}};
  for (const auto& [engine, hand] : hands_) out["asked_by_hand"][engine] = hand.out ? "exclude" : "include";
  if (const raft::Raft* raft = keeper_.raft()) {
    out["voters"] = raft->voters();
    out["term"] = raft->term();
    out["commit"] = raft->commit();
    out["holders"] = keeper_.Holders(now);
  }
  for (const auto& [id, member] : fleet_.view().members().all()) {
    std::string told;
    for (const gossip::Attribute& a : member.record.attributes)
      if (a.key == kRulesKey) told = a.value;
    const bool self = id == fleet_.view().members().self();
    out["proxies"].push_back({{"name", member.record.name},
                              {"generation", member.record.generation},
                              {"alive", member.status == gossip::Status::kAlive},
                              {"rules", self ? shown_ : told}});
  }
  return Dump(out);
}

// What only voters have, asked of one.
Task<std::string> Rules::Forward(std::string bytes) {
  for (const std::string& name : settings_.voters) {
    const gossip::Member* voter = Reach(name);
    if (voter == nullptr || voter->status == gossip::Status::kFailed || name == name_) continue;
    auto answer = co_await peer_transport::CallPeer(
        loop_, fleet_.settings().name, peer_transport::ToAddress(voter->record.address), bytes,
        Now() + kForwardPatience, peer_transport::ToAddress(fleet_.link().listen_address()));
    if (answer) co_return std::move(*answer);
  }
  co_return Error("no voter answers");
}

Task<std::string> Rules::Called(std::string bytes) {
  const ordered_json call = ordered_json::parse(bytes, nullptr, false);
  if (!call.is_object()) co_return Error("not a call");
  const auto text = [&](const char* key) {
    const auto it = call.find(key);
    return it != call.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  const auto number = [&](const char* key) -> std::uint64_t {
    const auto it = call.find(key);
    return it != call.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
  };
  const std::string what = text("call");
  if (what == "status") co_return StatusText();
  if (what == "propose" || what == "voters" || what == "read") {
    std::string id = text("id").empty() ? DrawId() : text("id");
    const Span patience = std::clamp<Span>(std::chrono::milliseconds(number("patience_ms")), 100ms, 10s);
    if (what == "propose") {
      const replicated_config::Change change{id, number("from"), text("text"),
                                             text("by").substr(0, replicated_config::kByMost), UnixMs()};
      co_return Dump(Json((co_await Propose(change, patience)).outcome));
    }
    if (waiting_.size() >= kWaitingMost || waiting_.contains(id)) co_return Error("too many calls at once");
    waiting_[id] = std::make_shared<Waiting>();
    if (what == "read")
      keeper_.ReadAgreed(Now(), id, Now() + patience);
    else
      keeper_.ChangeVoters(Now(), {id, text("who"), text("way") == "in"}, Now() + patience);
    Pump();
    const replicated_config::Finished finished = co_await Await(id);
    ordered_json out = Json(finished.outcome);
    if (finished.read)
      out.update({{"newest", finished.read->newest},
                  {"in_force", finished.read->in_force},
                  {"voters", finished.read->voters}});
    co_return Dump(out);
  }
  if (what == "text") {
    const Version version = number("version");
    if (const std::string* found = keeper_.Text(version))
      co_return Dump({{"version", version}, {"text", *found}});
  }
  if (what == "history" && keeper_.book() != nullptr) {
    ordered_json out = {{"versions", ordered_json::array()}};
    for (const auto& [version, written] : keeper_.book()->versions())
      out["versions"].push_back({{"version", version},
                                 {"by", written.by},
                                 {"at_unix_ms", written.at_unix_ms},
                                 {"bytes", written.text.size()},
                                 {"in_force", version == keeper_.book()->in_force()}});
    co_return Dump(out);
  }
  const bool forwarded = call.contains("forwarded");
  if ((what == "text" || what == "history") && !forwarded) {
    ordered_json on = call;
    on["forwarded"] = true;
    co_return co_await Forward(Dump(on));
  }
  if (what == "text") co_return Error("version " + std::to_string(number("version")) + " isn't kept");
  co_return Error("unknown call '" + what + "'");
}

}  // namespace lemoncroft::cli
