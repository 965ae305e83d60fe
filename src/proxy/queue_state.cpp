#include "proxy/queue_state.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

#include "proxy/state_writer.h"
#include "proxy/unix_time.h"

namespace lemoncroft::proxy {

using nlohmann::ordered_json;
using namespace std::chrono_literals;

namespace {
constexpr auto kStateFileInterval = 1s;
}  // namespace

std::string QueueStateText(const std::string& proxy, const admission_queue::AdmissionQueue::State& state) {
  ordered_json out = {{"proxy", proxy},
                      {"at_unix_ms", UnixMs()},
                      {"waiting", state.waiting},
                      {"handed", state.dispatched_not_started},
                      {"running", state.running},
                      {"overrun_threads", state.overrun_threads},
                      {"fleet_cores", state.fleet_cores},
                      {"scale", state.scale},
                      {"pace_heavy", state.dispatch_rate[0]},
                      {"pace_light", state.dispatch_rate[1]},
                      {"error_heavy", state.estimate_error[0]},
                      {"error_light", state.estimate_error[1]},
                      {"teams", ordered_json::array()}};
  for (const admission_queue::AdmissionQueue::TenantState& tenant : state.tenants) {
    out["teams"].push_back({{"name", tenant.name},
                            {"cores", tenant.cores},
                            {"charged_s", tenant.charged_seconds},
                            {"tag_s", tenant.start_tag},
                            {"threads", tenant.running_threads},
                            {"waiting", tenant.waiting},
                            {"work_s", admission_queue::Seconds(tenant.waiting_work)},
                            {"wait_s", admission_queue::Seconds(tenant.longest_wait)},
                            {"taken", tenant.submitted},
                            {"handed", tenant.dispatched},
                            {"refused", tenant.rejected}});
  }
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

runtime::Task<> WriteQueueState(runtime::Loop& loop, const ReloadableState& state) {
  std::optional<StateWriter> writer;
  for (;; co_await loop.Sleep(kStateFileInterval)) {
    if (state.queue_state_file.empty()) continue;
    if (!writer) writer.emplace();
    writer->Write(state.queue_state_file,
                  QueueStateText(state.config.name, state.broker.admission_queue()->Describe()));
  }
}

}  // namespace lemoncroft::proxy
