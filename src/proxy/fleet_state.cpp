#include "proxy/fleet_state.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>
#include <vector>

#include "proxy/unix_time.h"
#include "runtime/loop.h"

namespace lemoncroft::proxy {

using gossip::Member;
using gossip::Status;
using nlohmann::ordered_json;

namespace {

const char* StatusName(Status status) {
  constexpr const char* kNames[] = {"alive", "suspected", "failed", "left"};
  return kNames[static_cast<std::size_t>(status)];
}

double SecondsSince(runtime::Time since, runtime::Time now) {
  return std::chrono::duration<double>(now - since).count();
}

std::vector<const Member*> SortedMembers(const gossip::MemberTable& table) {
  std::vector<const Member*> members;
  for (const auto& [id, member] : table.all()) members.push_back(&member);
  std::sort(members.begin(), members.end(), [](const Member* a, const Member* b) {
    return std::tie(a->record.name, a->record.generation, a->record.id) <
           std::tie(b->record.name, b->record.generation, b->record.id);
  });
  return members;
}

// Returns the names of the members that suspect `member`, or the id of a suspector that is no longer in the
// table.
ordered_json SuspectorsJson(const gossip::MemberTable& table, const Member& member) {
  ordered_json suspectors = ordered_json::array();
  if (member.status != Status::kSuspect) return suspectors;
  for (const gossip::InstanceId id : member.suspected_by) {
    const Member* suspector = table.Find(id);
    suspectors.push_back(suspector == nullptr ? Hex(id) : suspector->record.name);
  }
  return suspectors;
}

// Returns the seconds since the last direct contact, or null if there was none.
ordered_json LastContactJson(const Member& member, bool self, runtime::Time now) {
  if (self) return 0.0;
  if (!member.last_direct_contact) return nullptr;
  return SecondsSince(*member.last_direct_contact, now);
}

ordered_json MemberJson(const gossip::MembershipView& view, const Member& member, runtime::Time now) {
  const gossip::MemberRecord& record = member.record;
  const bool self = record.id == view.members().self();
  ordered_json attributes = ordered_json::object();
  for (const gossip::Attribute& a : record.attributes) attributes[a.key] = a.value;
  return {{"name", record.name},
          {"id", Hex(record.id)},
          {"self", self},
          {"status", StatusName(member.status)},
          {"phase", PhaseName(record.phase)},
          {"generation", record.generation},
          {"incarnation", record.incarnation},
          {"zone", record.zone},
          {"address", peer_transport::ToString(record.address)},
          {"proof_s", LastContactJson(member, self, now)},
          {"since_s", self ? 0.0 : SecondsSince(member.status_since, now)},
          {"suspected_by", SuspectorsJson(view.members(), member)},
          {"differs", view.HasDiverged(record.id)},
          {"attributes", std::move(attributes)}};
}

}  // namespace

const char* PhaseName(gossip::Phase phase) {
  constexpr const char* kNames[] = {"starting", "serving", "ending"};
  return kNames[static_cast<std::size_t>(phase)];
}

std::string Hex(gossip::InstanceId id) { return fmt::format("{:016x}", id); }

std::int64_t MonotonicUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(runtime::Now().time_since_epoch()).count();
}

std::string FleetStateText(const peer_transport::Link& link, const std::string& fleet) {
  const gossip::MembershipView& view = link.view();
  const gossip::MemberTable& table = view.members();
  const runtime::Time now = runtime::Now();
  const std::vector<const Member*> members = SortedMembers(table);
  const auto suspected = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const Member* m) { return m->status == Status::kSuspect; }));
  const gossip::ServingRank serving_rank = view.serving_rank();
  ordered_json out = {{"proxy", table.own().record.name},
                      {"fleet", fleet},
                      {"at_unix_ms", UnixMs()},
                      {"mono_us", MonotonicUs()},
                      {"id", Hex(table.self())},
                      {"digest", Hex(table.digest())},
                      {"alive", table.live_count() - suspected},
                      {"suspected", suspected},
                      {"failed", table.failed().size()},
                      {"serving", serving_rank.serving_count},
                      {"place", serving_rank.rank},
                      {"health", view.local_health_score()},
                      {"views_differ", view.diverged_count()},
                      {"turn_us_p99", link.turn_durations().Percentile(0.99)},
                      {"contested", view.name_conflicts()},
                      {"members", ordered_json::array()}};
  for (const Member* member : members) out["members"].push_back(MemberJson(view, *member, now));
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

}  // namespace lemoncroft::proxy
