#include "proxy/fleet.h"

#include <spdlog/spdlog.h>

#include <chrono>

#include "proxy/fleet_state.h"
#include "proxy/state_writer.h"

namespace lemoncroft::proxy {
namespace {

using namespace std::chrono_literals;
using gossip::EventType;
using gossip::Member;
using gossip::Status;

constexpr auto kStateCheckInterval = 200ms;  // between two checks for a change to write to the state file
constexpr int kStateRefreshChecks = 5;       // the file is also written at every fifth check
// Rate limit of the log lines about members without direct contact.
constexpr double kUnconfirmedLogLinesPerSecond = 50, kUnconfirmedLogBurstSeconds = 10;
constexpr std::uint64_t kSuppressedLogInterval = 1000;  // events between two summary lines

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
  return {settings.name, name, settings.zone, settings.listen, settings.advertise, settings.membership};
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
  state_changed_ = true;
  const gossip::ServingRank current_rank = link_.view().serving_rank();
  if (current_rank == notified_rank_ || current_rank.rank < 0) return;
  notified_rank_ = current_rank;
  on_serving_rank_(current_rank);
}

void Fleet::HandleEvent(const gossip::Event& event) {
  const gossip::MemberRecord& record = event.record;
  NotifyServingRank();
  // Forged members must not fill the log, so that events of members without direct contact are rate-limited.
  const Member* member = link_.view().members().Find(record.id);
  if (member != nullptr && !member->last_direct_contact && record.id != link_.view().members().self() &&
      !unconfirmed_log_budget_.Take(runtime::Now().time_since_epoch().count(), kUnconfirmedLogLinesPerSecond,
                                    kUnconfirmedLogBurstSeconds)) {
    if (suppressed_events_++ % kSuppressedLogInterval == 0)
      spdlog::warn("fleet: too many events of members without direct contact; {} events were not logged",
                   suppressed_events_);
    return;
  }
  const Member* reporter = link_.view().members().Find(event.reported_by);
  spdlog::log(
      LevelOf(event.type),
      "peers event={} name={} id={} generation={} incarnation={} phase={} address={} by={} mono_us={}",
      gossip::NameOf(event.type), record.name, Hex(record.id), record.generation, record.incarnation,
      PhaseName(record.phase), peer_transport::ToString(record.address),
      reporter == nullptr ? "-" : reporter->record.name, MonotonicUs());
  if (event.type == EventType::kNameConflict)
    spdlog::error("fleet: another process serves as {} too, at {}: one of the two has a wrong name",
                  record.name, peer_transport::ToString(record.address));
}

std::vector<std::pair<std::string, std::uint64_t>> Fleet::Metrics() const {
  const gossip::MembershipView& view = link_.view();
  const peer_transport::LinkMetrics& link_metrics = link_.metrics();
  std::uint64_t suspected = 0, frame_errors = 0;
  for (const auto& [id, member] : view.members().all()) suspected += member.status == Status::kSuspect;
  for (const std::uint64_t count : link_metrics.frame_errors) frame_errors += count;
  return {{"fleet.alive", view.members().live_count() - suspected},
          {"fleet.suspected", suspected},
          {"fleet.failed", view.members().failed().size()},
          {"fleet.serving", static_cast<std::uint64_t>(view.serving_rank().serving_count)},
          {"fleet.differing", view.diverged_count()},
          {"fleet.health", static_cast<std::uint64_t>(view.local_health_score())},
          {"fleet.sent", link_metrics.sent},
          {"fleet.sent_bytes", link_metrics.sent_bytes},
          {"fleet.unsent", link_metrics.send_failures},
          {"fleet.received", link_metrics.received},
          {"fleet.exchanges", link_metrics.syncs},
          {"fleet.exchanges_failed", link_metrics.syncs_failed},
          {"fleet.exchange_bytes", link_metrics.sync_bytes},
          {"fleet.parcel_bytes", link_metrics.app_message_bytes},
          {"fleet.refused", view.rejected()},
          {"fleet.dropped", frame_errors}};
}

runtime::Task<> Fleet::WriteState() {
  if (settings_.state_file.empty()) co_return;
  StateWriter writer;
  for (int check = 0;; ++check, co_await loop_.Sleep(kStateCheckInterval)) {
    if (!state_changed_ && check % kStateRefreshChecks != 0) continue;
    state_changed_ = false;
    writer.Write(settings_.state_file, FleetStateText(link_, settings_.name));
  }
}

}  // namespace lemoncroft::proxy
