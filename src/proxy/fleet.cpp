#include "proxy/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>

#include "proxy/state.h"
#include "proxy/state_writer.h"

namespace lemoncroft::proxy {
namespace {

using namespace std::chrono_literals;
using gossip::EventType;
using gossip::Member;
using gossip::Status;
using nlohmann::ordered_json;

constexpr auto kStateCheckInterval = 200ms;  // the state file is written after a change
constexpr int kStateRefreshChecks = 5;       // ... and at every fifth check without one
constexpr int kExitUnhealthy = 3;            // exit code of `lemoncroft peers`
// Limits the log lines about members without direct contact.
constexpr double kUnconfirmedLogLinesPerSecond = 50, kUnconfirmedLogBurstSeconds = 10;
constexpr std::uint64_t kSuppressedLogInterval = 1000;  // events per summary line

const char* NameOf(Status status) {
  constexpr const char* kNames[] = {"alive", "suspected", "failed", "left"};
  return kNames[static_cast<std::size_t>(status)];
}

const char* NameOf(gossip::Phase phase) {
  constexpr const char* kNames[] = {"starting", "serving", "ending"};
  return kNames[static_cast<std::size_t>(phase)];
}

std::string Hex(gossip::InstanceId id) { return fmt::format("{:016x}", id); }

// One clock for all processes of a machine, so that their logs can be merged.
std::int64_t MonotonicUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(runtime::Now().time_since_epoch()).count();
}

spdlog::level::level_enum LevelOf(EventType type) {
  switch (type) {
    case EventType::kChanged:
    case EventType::kReaped:
      return spdlog::level::debug;
    case EventType::kFailed:
    case EventType::kNameConflict:
    case EventType::kPaused:
      return spdlog::level::warn;
    default:
      return spdlog::level::info;
  }
}

peer_transport::LinkOptions LinkOptionsOf(const operator_config::FleetSettings& settings,
                                          const std::string& name) {
  return {settings.name, name, settings.zone, settings.listen, settings.advertise, settings.view};
}

int Print(const ordered_json& state) {
  std::printf("%s of fleet %s: %zu alive, %zu suspected, %zu failed; %d serve, this one is %d; health %d%s\n",
              state.at("proxy").get<std::string>().c_str(), state.at("fleet").get<std::string>().c_str(),
              state.at("alive").get<std::size_t>(), state.at("suspected").get<std::size_t>(),
              state.at("failed").get<std::size_t>(), state.at("serving").get<int>(),
              state.at("place").get<int>() + 1, state.at("health").get<int>(),
              state.at("views_differ").get<std::size_t>() > 0 ? "; VIEWS DIFFER" : "");
  std::printf("%-20s %-10s %-9s %4s %6s %-10s %-21s %9s %9s %s\n", "member", "status", "phase", "gen", "inc",
              "zone", "address", "proof s", "since s", "suspected by");
  for (const ordered_json& m : state.at("members")) {
    const double proof = m.at("proof_s").is_null() ? -1 : m.at("proof_s").get<double>();
    std::string by;
    for (const ordered_json& accuser : m.at("suspected_by"))
      by += (by.empty() ? "" : " ") + accuser.get<std::string>();
    std::printf("%-20s %-10s %-9s %4u %6llu %-10s %-21s %9.1f %9.1f %s%s%s\n",
                m.at("name").get<std::string>().c_str(), m.at("status").get<std::string>().c_str(),
                m.at("phase").get<std::string>().c_str(), m.at("generation").get<unsigned>(),
                m.at("incarnation").get<unsigned long long>(), m.at("zone").get<std::string>().c_str(),
                m.at("address").get<std::string>().c_str(), proof, m.at("since_s").get<double>(), by.c_str(),
                m.at("differs").get<bool>() ? " differs" : "", m.at("self").get<bool>() ? " (this one)" : "");
  }
  for (const ordered_json& name : state.at("contested"))
    std::printf("CONTESTED: two processes serve as %s\n", name.get<std::string>().c_str());
  const bool calm = state.at("suspected") == 0 && state.at("failed") == 0 && state.at("contested").empty() &&
                    state.at("views_differ") == 0;
  return calm ? 0 : kExitUnhealthy;
}

}  // namespace

Fleet::Fleet(runtime::Loop& loop, const operator_config::FleetSettings& settings, const std::string& name,
             std::uint64_t seed, std::function<void(const gossip::ServingRank&)> on_serving_rank)
    : loop_(loop),
      settings_(settings),
      on_serving_rank_(std::move(on_serving_rank)),
      link_(loop, LinkOptionsOf(settings, name), seed,
            [this](const gossip::Event& event) { HandleEvent(event); }) {}

void Fleet::Start() {
  link_.Start();
  spdlog::info("fleet {}: listens on {}, id {}", settings_.name,
               peer_transport::ToString(link_.listen_address()), Hex(link_.view().members().self()));
  loop_.Spawn(WriteState());
}

void Fleet::SetPhase(Operations::Phase phase) {
  link_.SetPhase(phase == Operations::Phase::kServing  ? gossip::Phase::kServing
                 : phase == Operations::Phase::kEnding ? gossip::Phase::kDraining
                                                       : gossip::Phase::kStarting);
  NotifyServingRank();
}

void Fleet::NotifyServingRank() {
  changed_ = true;
  const gossip::ServingRank now = link_.view().serving_rank();
  if (now == notified_rank_ || now.rank < 0) return;
  notified_rank_ = now;
  on_serving_rank_(now);
}

void Fleet::HandleEvent(const gossip::Event& event) {
  const gossip::MemberRecord& r = event.record;
  NotifyServingRank();
  // Forged members must not fill the log.
  const Member* about = link_.view().members().Find(r.id);
  if (about != nullptr && !about->last_direct_contact && r.id != link_.view().members().self() &&
      !unconfirmed_log_budget_.Take(runtime::Now().time_since_epoch().count(), kUnconfirmedLogLinesPerSecond,
                                    kUnconfirmedLogBurstSeconds)) {
    if (suppressed_events_++ % kSuppressedLogInterval == 0)
      spdlog::warn("fleet: many members without direct contact; {} events of them are not logged",
                   suppressed_events_);
    return;
  }
  const Member* by = link_.view().members().Find(event.reported_by);
  spdlog::log(
      LevelOf(event.type),
      "peers event={} name={} id={} generation={} incarnation={} phase={} address={} by={} mono_us={}",
      gossip::NameOf(event.type), r.name, Hex(r.id), r.generation, r.incarnation, NameOf(r.phase),
      peer_transport::ToString(r.address), by == nullptr ? "-" : by->record.name, MonotonicUs());
  if (event.type == EventType::kNameConflict)
    spdlog::error("fleet: another process serves as {} too, at {}: one of the two has a wrong name", r.name,
                  peer_transport::ToString(r.address));
}

std::vector<std::pair<std::string, std::uint64_t>> Fleet::Metrics() const {
  const gossip::MembershipView& view = link_.view();
  const peer_transport::LinkMetrics& f = link_.metrics();
  std::uint64_t suspected = 0, faults = 0;
  for (const auto& [id, member] : view.members().all()) suspected += member.status == Status::kSuspect;
  for (const std::uint64_t count : f.frame_errors) faults += count;
  return {{"fleet.alive", view.members().live_count() - suspected},
          {"fleet.suspected", suspected},
          {"fleet.failed", view.members().failed().size()},
          {"fleet.serving", static_cast<std::uint64_t>(view.serving_rank().serving_count)},
          {"fleet.differing", view.diverged_count()},
          {"fleet.health", static_cast<std::uint64_t>(view.local_health())},
          {"fleet.sent", f.sent},
          {"fleet.sent_bytes", f.sent_bytes},
          {"fleet.unsent", f.send_failures},
          {"fleet.received", f.received},
          {"fleet.exchanges", f.syncs},
          {"fleet.exchanges_failed", f.syncs_failed},
          {"fleet.exchange_bytes", f.sync_bytes},
          {"fleet.parcel_bytes", f.app_message_bytes},
          {"fleet.refused", view.rejected()},
          {"fleet.dropped", faults}};
}

std::string Fleet::StateText() const {
  const gossip::MembershipView& view = link_.view();
  const gossip::MemberTable& table = view.members();
  const runtime::Time now = runtime::Now();
  const auto seconds = [now](runtime::Time since) {
    return std::chrono::duration<double>(now - since).count();
  };
  std::vector<const Member*> members;
  std::size_t suspected = 0;
  for (const auto& [id, member] : table.all()) {
    members.push_back(&member);
    suspected += member.status == Status::kSuspect;
  }
  std::sort(members.begin(), members.end(), [](const Member* a, const Member* b) {
    return std::tie(a->record.name, a->record.generation, a->record.id) <
           std::tie(b->record.name, b->record.generation, b->record.id);
  });
  const gossip::ServingRank serving_rank = view.serving_rank();
  ordered_json out = {{"proxy", table.own().record.name},
                      {"fleet", settings_.name},
                      {"at_unix_ms", UnixMs()},
                      {"mono_us", MonotonicUs()},
                      {"id", Hex(table.self())},
                      {"digest", Hex(table.digest())},
                      {"alive", table.live_count() - suspected},
                      {"suspected", suspected},
                      {"failed", table.failed().size()},
                      {"serving", serving_rank.serving_count},
                      {"place", serving_rank.rank},
                      {"health", view.local_health()},
                      {"views_differ", view.diverged_count()},
                      {"turn_us_p99", link_.turns().Percentile(0.99)},
                      {"contested", view.name_conflicts()},
                      {"members", ordered_json::array()}};
  for (const Member* m : members) {
    const gossip::MemberRecord& r = m->record;
    ordered_json by = ordered_json::array();
    if (m->status == Status::kSuspect) {
      for (const gossip::InstanceId id : m->suspected_by) {
        const Member* suspector = table.Find(id);
        by.push_back(suspector == nullptr ? Hex(id) : suspector->record.name);
      }
    }
    ordered_json attributes = ordered_json::object();
    for (const gossip::Attribute& a : r.attributes) attributes[a.key] = a.value;
    const bool self = r.id == table.self();
    out["members"].push_back(
        {{"name", r.name},
         {"id", Hex(r.id)},
         {"self", self},
         {"status", NameOf(m->status)},
         {"phase", NameOf(r.phase)},
         {"generation", r.generation},
         {"incarnation", r.incarnation},
         {"zone", r.zone},
         {"address", peer_transport::ToString(r.address)},
         {"proof_s", self                     ? ordered_json(0.0)
                     : m->last_direct_contact ? ordered_json(seconds(*m->last_direct_contact))
                                              : ordered_json()},
         {"since_s", self ? 0.0 : seconds(m->status_since)},
         {"suspected_by", std::move(by)},
         {"differs", view.HasDiverged(r.id)},
         {"attributes", std::move(attributes)}});
  }
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

runtime::Task<> Fleet::WriteState() {
  if (settings_.state.empty()) co_return;
  StateWriter writer;
  for (int check = 0;; ++check, co_await loop_.Sleep(kStateCheckInterval)) {
    if (!changed_ && check % kStateRefreshChecks != 0) continue;
    changed_ = false;
    writer.Write(settings_.state, StateText());
  }
}

int ShowPeers(const std::string& path, bool json) { return ShowFile(path, json, Print); }

}  // namespace lemoncroft::proxy
