#include "discovery/endpoint_directory.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <unordered_set>

#include "decision/module_clock.h"
#include "discovery/feed_fields.h"

namespace lemoncroft::discovery {
namespace {

using codec::Json;

constexpr std::uint16_t kMaxNumber = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t kMaxUnlistedNames = 1024;  // further names share a single number

// A process that returns an engine to service records this in a file, from which it later imports the return
// like those of other processes. The modification time of the file may be later than the return by up to this
// duration; such a time does not count as a further return, which would end the incarnation again.
constexpr Nanos kFileTimeTolerance = 1'000'000'000;

std::string TextOr(const Json& json, const std::string& absent) {
  return json.Is(Json::Kind::kString) ? json.text : absent;
}

Nanos NanosOf(EndpointDirectory::UnixTime at) {
  return decision::ModuleClock::AtUnix(
      std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()));
}

}  // namespace

// The decision module ranks engines by id, so ids must be the same in every proxy and after every restart.
// Therefore an id is the FNV-1a hash of the name. On a collision, the later name gets the next free id; only
// then may the id depend on the order of arrival, and differ between proxies.
EngineId EndpointDirectory::IdOf(const std::string& name) {
  if (const auto it = ids_.find(name); it != ids_.end()) return it->second;
  EngineId id = 2166136261u;
  for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * 16777619u;
  while (names_.contains(id)) ++id;
  ids_.emplace(name, id);
  names_.emplace(id, name);
  return id;
}

// A name that the settings don't list gets its own number from the upper end of the range. With a listed
// number, the engine would be sent requests that are bound to another zone or kind.
std::uint16_t EndpointDirectory::NumberOf(const std::string& name, const std::vector<std::string>& names,
                                          const char* what) {
  if (name.empty() && names.size() <= 1) return 0;  // not announced, and at most one name is listed
  const auto it = std::find(names.begin(), names.end(), settings::ToListItem(name));
  if (it != names.end()) return static_cast<std::uint16_t>(it - names.begin());
  if (unlisted_names_.size() >= kMaxUnlistedNames && !unlisted_names_.contains(name))
    return static_cast<std::uint16_t>(kMaxNumber - kMaxUnlistedNames);
  const auto number = static_cast<std::uint16_t>(kMaxNumber - unlisted_names_.size());
  const auto [known, is_new] = unlisted_names_.try_emplace(name, number);
  if (is_new)
    spdlog::warn(
        "control feed: the settings list no {} '{}'; its engines get no requests that are bound to listed "
        "ones",
        what, name);
  return known->second;
}

const Endpoint* EndpointDirectory::Find(EngineId engine) const {
  const auto it = endpoints_.find(engine);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointDirectory::MaySend(EngineId engine) const {
  const Endpoint* endpoint = Find(engine);
  return endpoint != nullptr && endpoint->effective.readiness == Readiness::kReady;
}

bool EndpointDirectory::Apply(const Json& document, const UpdateCallback& on_update) {
  const Json& events = document[feed::kEvents];
  if (!events.Is(Json::Kind::kArray)) return false;
  for (const Json& event : events.items) {
    const std::int64_t revision = event[feed::kRevision].Integer(-1);
    if (revision <= last_revision_) continue;
    last_revision_ = revision;
    if (!event[feed::kUpdate].Is(Json::Kind::kObject)) continue;  // an event of another kind
    if (auto list = ApplyEvent(event[feed::kUpdate])) on_update(std::move(*list));
  }
  last_revision_ = std::max(last_revision_, document[feed::kRevision].Integer(last_revision_));
  return true;
}

std::optional<EngineList> EndpointDirectory::ApplyEvent(const Json& update) {
  const Json& list = update[feed::kEndpoints];
  if (!list.Is(Json::Kind::kArray)) return std::nullopt;
  const bool complete = update[feed::kIsCompleteList].IsTrue();
  std::vector<EngineEntry> entries;
  for (const Json& json : list.items) {
    if (auto entry = ApplyEndpoint(json)) entries.push_back(*entry);
  }
  if (complete) RemoveUnlisted(entries);
  const ListKind kind = !complete            ? ListKind::kChange
                        : has_complete_list_ ? ListKind::kFull
                                             : ListKind::kCached;
  has_complete_list_ = has_complete_list_ || complete;
  return EngineList{kind, std::make_shared<const std::vector<EngineEntry>>(std::move(entries))};
}

void EndpointDirectory::RemoveUnlisted(const std::vector<EngineEntry>& listed) {
  std::unordered_set<EngineId> listed_ids;
  listed_ids.reserve(listed.size());
  for (const EngineEntry& entry : listed) listed_ids.insert(entry.engine);
  std::vector<EngineId> removed;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!listed_ids.contains(id)) removed.push_back(id);
  }
  for (const EngineId id : removed) Remove(id);
}

std::optional<EngineEntry> EndpointDirectory::ApplyEndpoint(const Json& json) {
  const std::string& name = json[feed::kName].text;
  const std::string& state = json[feed::kState].text;
  if (name.empty()) {
    spdlog::warn("control feed: skipping an entry without an id");
    return std::nullopt;
  }
  // Fields that an entry omits keep their value, so that a drain takes effect even if its entry has no
  // address.
  const Endpoint* known = Find(IdOf(name));
  const std::string host_port =
      known != nullptr ? TextOr(json[feed::kAddress], known->host_port) : json[feed::kAddress].text;
  const auto address = runtime::Address::Parse(host_port);
  if (!address && state != feed::kStateRemoved) {
    spdlog::warn("control feed: skipping the entry of {}, which has no valid address", name);
    if (known == nullptr) Remove(IdOf(name));
    return std::nullopt;
  }
  EngineEntry entry;
  entry.engine = IdOf(name);
  entry.weight = json[feed::kWeight].Number(known != nullptr ? known->advertised.weight : 1);
  // An unknown state is treated as draining: a draining engine gets no new requests.
  entry.readiness = state == feed::kStateReady     ? Readiness::kReady
                    : state == feed::kStateRemoved ? Readiness::kRemoved
                                                   : Readiness::kDraining;
  const std::string kind = TextOr(json[feed::kMachineKind], known != nullptr ? known->kind : std::string());
  const std::string zone = TextOr(json[feed::kZone], known != nullptr ? known->zone : std::string());
  entry.kind = NumberOf(kind, site_->kinds, "machine kind");
  entry.zone = NumberOf(zone, site_->zones, "zone");
  entry.cell =
      static_cast<std::uint16_t>(json[feed::kCell].Integer(known != nullptr ? known->advertised.cell : 0));
  const Json& start_time = json[feed::kStartedAt];
  entry.started_at = known != nullptr ? known->advertised.started_at : 0;
  if (start_time.Is(Json::Kind::kNumber)) {
    entry.started_at = decision::ModuleClock::AtUnix(
        std::chrono::milliseconds(std::max<std::int64_t>(0, start_time.Integer())));
  }
  if (entry.readiness == Readiness::kRemoved) {
    Remove(entry.engine);
    return entry;
  }
  if (known != nullptr &&
      (known->advertised.started_at != entry.started_at || known->host_port != host_port)) {
    EndIncarnation(entry.engine);
    known = nullptr;
  }
  const std::uint64_t incarnation = known != nullptr ? known->incarnation : ++last_incarnation_;
  Endpoint endpoint{name, host_port, *address, kind, zone, entry, entry, incarnation};
  ApplyEjections(endpoint.effective, name);
  endpoints_.insert_or_assign(entry.engine, endpoint);
  return endpoint.effective;
}

void EndpointDirectory::RenumberKindsAndZones(const UpdateCallback& on_update) {
  std::vector<EngineEntry> entries;
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.advertised.kind = endpoint.effective.kind =
        NumberOf(endpoint.kind, site_->kinds, "machine kind");
    endpoint.advertised.zone = endpoint.effective.zone = NumberOf(endpoint.zone, site_->zones, "zone");
    entries.push_back(endpoint.effective);
  }
  if (!entries.empty())
    on_update({ListKind::kChange, std::make_shared<const std::vector<EngineEntry>>(std::move(entries))});
}

void EndpointDirectory::ApplyEjections(EngineEntry& entry, const std::string& name) const {
  if (manually_ejected_.contains(name)) entry.readiness = Readiness::kExcluded;
  if (const auto it = returned_at_.find(name); it != returned_at_.end())
    entry.started_at = std::max(entry.started_at, it->second);
}

void EndpointDirectory::PublishEndpoint(const std::string& name, bool returned_to_service,
                                        const UpdateCallback& on_update) {
  const auto known = ids_.find(name);
  const auto it = known == ids_.end() ? endpoints_.end() : endpoints_.find(known->second);
  if (it == endpoints_.end()) return;
  Endpoint& endpoint = it->second;
  endpoint.effective = endpoint.advertised;
  ApplyEjections(endpoint.effective, name);
  if (returned_to_service) {
    endpoint.incarnation = ++last_incarnation_;
    if (on_incarnation_ended) on_incarnation_ended(it->first);
  }
  on_update({ListKind::kChange, std::make_shared<const std::vector<EngineEntry>>(1, endpoint.effective)});
}

discovery::ManualEjectionResult EndpointDirectory::Eject(const std::string& name,
                                                         const UpdateCallback& on_update) {
  if (manually_ejected_.contains(name)) return ManualEjectionResult::kDone;
  if (!ids_.contains(name)) return ManualEjectionResult::kUnknownEngine;
  if (manually_ejected_.size() >= kMaxEjectedEngines) return ManualEjectionResult::kTooMany;
  manually_ejected_.insert(name);
  PublishEndpoint(name, false, on_update);
  return ManualEjectionResult::kDone;
}

discovery::ManualEjectionResult EndpointDirectory::ReturnToService(const std::string& name, UnixTime at,
                                                                   const UpdateCallback& on_update) {
  if (manually_ejected_.erase(name) == 0)
    return ids_.contains(name) ? ManualEjectionResult::kDone : ManualEjectionResult::kUnknownEngine;
  if (ids_.contains(name)) returned_at_[name] = NanosOf(at);
  PublishEndpoint(name, true, on_update);
  return ManualEjectionResult::kDone;
}

void EndpointDirectory::ImportEjections(const std::set<std::string>& ejected,
                                        const std::map<std::string, UnixTime>& returned_at,
                                        const UpdateCallback& on_update) {
  for (const std::string& name : ejected) {
    if (manually_ejected_.size() < kMaxEjectedEngines && manually_ejected_.insert(name).second)
      PublishEndpoint(name, false, on_update);
  }
  const auto time = [&](const std::string& name) {
    const auto it = returned_at.find(name);
    return it == returned_at.end() ? std::chrono::system_clock::now() : it->second;
  };
  for (const std::string& name : std::set<std::string>(manually_ejected_)) {
    if (!ejected.contains(name)) ReturnToService(name, time(name), on_update);
  }
  // Engines that were ejected and returned before this process saw the ejection.
  for (const auto& [name, at] : returned_at) {
    const Nanos since = NanosOf(at);
    if (has_complete_list_ && !ids_.contains(name)) continue;
    if (manually_ejected_.contains(name) ||
        (returned_at_.contains(name) && since <= returned_at_[name] + kFileTimeTolerance))
      continue;
    returned_at_[name] = since;
    PublishEndpoint(name, true, on_update);
  }
}

std::size_t EndpointDirectory::CountEjected(const std::vector<EngineId>& outliers) const {
  const std::unordered_set<EngineId> outlier_ids(outliers.begin(), outliers.end());
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& m) {
    return manually_ejected_.contains(m.second.name) || outlier_ids.contains(m.first);
  }));
}

void EndpointDirectory::EndIncarnation(EngineId engine) {
  if (endpoints_.erase(engine) > 0 && on_incarnation_ended) on_incarnation_ended(engine);
}

// Engines are replaced continually, so no data of a removed engine may be retained.
void EndpointDirectory::Remove(EngineId engine) {
  EndIncarnation(engine);
  if (const auto it = names_.find(engine); it != names_.end()) {
    returned_at_.erase(it->second);
    ids_.erase(it->second);
    names_.erase(it);
  }
}

}  // namespace lemoncroft::discovery
