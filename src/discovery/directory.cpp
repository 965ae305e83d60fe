#include "discovery/directory.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <unordered_set>

#include "broker/module_clock.h"

namespace lemoncroft::discovery {
namespace {

using codec::Json;

constexpr std::uint16_t kNumberMost = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t kUnlistedMost = 1024;  // names told apart; further ones share a number

constexpr Nanos kOwnReturn = 1'000'000'000;  // by the clock of files

std::string TextOr(const Json& json, const std::string& absent) {
  return json.Is(Json::Kind::kText) ? json.text : absent;
}

Nanos NanosOf(Directory::UnixTime at) {
  return broker::ModuleClock::AtUnix(
      std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()));
}

}  // namespace

// The module ranks engines by their ids and wants these alike at every proxy and after every restart, so an
// id is the name's hash (FNV-1a), not a serial. Two names with one hash: the later one takes the next free.
EngineId Directory::IdOf(const std::string& name) {
  if (const auto it = ids_.find(name); it != ids_.end()) return it->second;
  EngineId id = 2166136261u;
  for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * 16777619u;
  while (names_.contains(id)) ++id;
  ids_.emplace(name, id);
  names_.emplace(id, name);
  return id;
}

// A name that the settings don't list gets a number that none of theirs has: under one of theirs the engine
// would be sent requests that are bound elsewhere.
std::uint16_t Directory::NumberOf(const std::string& name, const std::vector<std::string>& names,
                                  const char* what) {
  if (name.empty() && names.size() <= 1) return 0;  // not told, and there is no other
  const auto it = std::find(names.begin(), names.end(), settings::ListItem(name));
  if (it != names.end()) return static_cast<std::uint16_t>(it - names.begin());
  if (unlisted_.size() >= kUnlistedMost && !unlisted_.contains(name))
    return static_cast<std::uint16_t>(kNumberMost - kUnlistedMost);
  const auto number = static_cast<std::uint16_t>(kNumberMost - unlisted_.size());
  const auto [known, fresh] = unlisted_.try_emplace(name, number);
  if (fresh)
    spdlog::warn("control feed: the settings list no {} '{}': no class that is bound to some goes there",
                 what, name);
  return known->second;
}

const Member* Directory::Find(EngineId engine) const {
  const auto it = members_.find(engine);
  return it == members_.end() ? nullptr : &it->second;
}

bool Directory::MaySend(EngineId engine) const {
  const Member* member = Find(engine);
  return member != nullptr && member->entry.readiness == Readiness::kReady;
}

bool Directory::Apply(const Json& document, const Tell& tell) {
  const Json& events = document["events"];
  if (!events.Is(Json::Kind::kArray)) return false;
  for (const Json& event : events.items) {
    const std::int64_t n = event["n"].Integer(-1);
    if (n <= last_) continue;  // told before
    last_ = n;
    if (!event["members"].Is(Json::Kind::kObject)) continue;  // of a kind that is none of ours
    if (auto list = ApplyEvent(event["members"])) tell(std::move(*list));
  }
  last_ = std::max(last_, document["n"].Integer(last_));
  return true;
}

std::optional<EngineList> Directory::ApplyEvent(const Json& members) {
  const Json& list = members["members"];
  if (!list.Is(Json::Kind::kArray)) return std::nullopt;
  const bool complete = members["complete"].True();
  std::vector<EngineEntry> entries;
  for (const Json& json : list.items) {
    if (auto entry = ApplyMember(json)) entries.push_back(*entry);
  }
  if (complete) {  // who is not in a whole list has left
    std::unordered_set<EngineId> named;
    named.reserve(entries.size());
    for (const EngineEntry& entry : entries) named.insert(entry.engine);
    std::vector<EngineId> left;
    for (const auto& [id, member] : members_) {
      if (!named.contains(id)) left.push_back(id);
    }
    for (const EngineId id : left) Forget(id);
  }
  const ListKind kind = !complete ? ListKind::kChange : loaded_ ? ListKind::kFull : ListKind::kCached;
  loaded_ = loaded_ || complete;
  return EngineList{kind, std::make_shared<const std::vector<EngineEntry>>(std::move(entries))};
}

std::optional<EngineEntry> Directory::ApplyMember(const Json& json) {
  const std::string& name = json["id"].text;
  const std::string& phase = json["phase"].text;
  if (name.empty()) {
    spdlog::warn("control feed: an entry without an id is passed over");
    return std::nullopt;
  }
  // What an entry leaves out stays as it was: a drain must not be missed for want of an address.
  const Member* known = Find(IdOf(name));
  const std::string host_port =
      known != nullptr ? TextOr(json["host_port"], known->host_port) : json["host_port"].text;
  const auto address = runtime::Address::Parse(host_port);
  if (!address && phase != "Gone") {
    spdlog::warn("control feed: {} has no usable address and is passed over", name);
    if (known == nullptr) Forget(IdOf(name));
    return std::nullopt;
  }
  EngineEntry entry;
  entry.engine = IdOf(name);
  entry.weight = json["size"].Number(known != nullptr ? known->fed.weight : 1);
  // An unknown state takes nothing new: sending there could break the rule on drains.
  entry.readiness = phase == "Ready"  ? Readiness::kReady
                    : phase == "Gone" ? Readiness::kGone
                                      : Readiness::kDraining;
  const std::string kind = TextOr(json["flavor"], known != nullptr ? known->kind : std::string());
  const std::string zone = TextOr(json["locality"], known != nullptr ? known->zone : std::string());
  entry.kind = NumberOf(kind, site_->kinds, "machine kind");
  entry.zone = NumberOf(zone, site_->zones, "zone");
  entry.cell = static_cast<std::uint16_t>(json["cell"].Integer(known != nullptr ? known->fed.cell : 0));
  const Json& up_since = json["up_since_ms"];
  entry.started_at = known != nullptr ? known->fed.started_at : 0;
  if (up_since.Is(Json::Kind::kNumber)) {
    entry.started_at =
        broker::ModuleClock::AtUnix(std::chrono::milliseconds(std::max<std::int64_t>(0, up_since.Integer())));
  }
  if (entry.readiness == Readiness::kGone) {
    Forget(entry.engine);
    return entry;
  }
  if (known != nullptr && (known->fed.started_at != entry.started_at || known->host_port != host_port)) {
    End(entry.engine);
    known = nullptr;
  }
  const std::uint64_t life = known != nullptr ? known->life : ++lives_;
  Member member{name, host_port, *address, kind, zone, entry, entry, life};
  Mark(member.entry, name);
  members_.insert_or_assign(entry.engine, member);
  return member.entry;
}

void Directory::Renumber(const Tell& tell) {
  std::vector<EngineEntry> entries;
  for (auto& [id, member] : members_) {
    member.fed.kind = member.entry.kind = NumberOf(member.kind, site_->kinds, "machine kind");
    member.fed.zone = member.entry.zone = NumberOf(member.zone, site_->zones, "zone");
    entries.push_back(member.entry);
  }
  if (!entries.empty())
    tell({ListKind::kChange, std::make_shared<const std::vector<EngineEntry>>(std::move(entries))});
}

void Directory::Mark(EngineEntry& entry, const std::string& id) const {
  if (out_.contains(id)) entry.readiness = Readiness::kExcluded;
  if (const auto it = returned_.find(id); it != returned_.end())
    entry.started_at = std::max(entry.started_at, it->second);
}

// Tells of one engine anew, after a word of an operator.
void Directory::Retell(const std::string& id, bool returned, const Tell& tell) {
  const auto known = ids_.find(id);
  const auto it = known == ids_.end() ? members_.end() : members_.find(known->second);
  if (it == members_.end()) return;
  Member& member = it->second;
  member.entry = member.fed;
  Mark(member.entry, id);
  if (returned) {  // started anew: what is left of its connections is of no use
    member.life = ++lives_;
    if (on_ended) on_ended(it->first);
  }
  tell({ListKind::kChange, std::make_shared<const std::vector<EngineEntry>>(1, member.entry)});
}

Directory::ByHand Directory::Exclude(const std::string& id, const Tell& tell) {
  if (out_.contains(id)) return ByHand::kDone;
  if (!ids_.contains(id)) return ByHand::kNobody;
  if (out_.size() >= kOutMost) return ByHand::kTooMany;
  out_.insert(id);
  Retell(id, false, tell);
  return ByHand::kDone;
}

Directory::ByHand Directory::Include(const std::string& id, UnixTime at, const Tell& tell) {
  if (out_.erase(id) == 0) return ids_.contains(id) ? ByHand::kDone : ByHand::kNobody;
  if (ids_.contains(id)) returned_[id] = NanosOf(at);
  Retell(id, true, tell);
  return ByHand::kDone;
}

void Directory::TakeOver(const std::set<std::string>& out, const std::map<std::string, UnixTime>& returned,
                         const Tell& tell) {
  for (const std::string& id : out) {
    if (out_.size() < kOutMost && out_.insert(id).second) Retell(id, false, tell);
  }
  const auto time = [&](const std::string& id) {
    const auto it = returned.find(id);
    return it == returned.end() ? std::chrono::system_clock::now() : it->second;
  };
  for (const std::string& id : std::set<std::string>(out_)) {
    if (!out.contains(id)) Include(id, time(id), tell);
  }
  // Those that were out and back before this process saw them out. Its own return is written a moment later.
  for (const auto& [id, at] : returned) {
    const Nanos since = NanosOf(at);
    if (loaded_ && !ids_.contains(id)) continue;
    if (out_.contains(id) || (returned_.contains(id) && since <= returned_[id] + kOwnReturn)) continue;
    returned_[id] = since;
    Retell(id, true, tell);
  }
}

std::size_t Directory::Avoided(const std::vector<EngineId>& avoided) const {
  const std::unordered_set<EngineId> among(avoided.begin(), avoided.end());
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& m) {
    return out_.contains(m.second.name) || among.contains(m.first);
  }));
}

void Directory::End(EngineId engine) {
  if (members_.erase(engine) > 0 && on_ended) on_ended(engine);
}

// Engines are replaced all day long: nothing may stay of one that has gone.
void Directory::Forget(EngineId engine) {
  End(engine);
  if (const auto it = names_.find(engine); it != names_.end()) {
    returned_.erase(it->second);
    ids_.erase(it->second);
    names_.erase(it);
  }
}

}  // namespace lemoncroft::discovery
