#include "broker/broker.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "broker/overloaded.h"

namespace lemoncroft::broker {

using decision::ToNanos;
using runtime::Now;
using runtime::Task;
using runtime::Time;

Broker::Broker(runtime::Loop& loop, const settings::ActiveSettings& site, std::uint64_t seed,
               backend::Engines& engines, metrics::Counters& counters, Limits limits)
    : loop_(loop),
      site_(site),
      engines_(engines),
      counters_(counters),
      limits_(limits),
      module_host_(loop, site->module, seed, [this](const Action& action) { Apply(action); }) {}

void Broker::EnableAdmissionQueue(admission_queue::Settings settings) {
  queue_ = std::make_unique<AdmissionQueueHost>(
      loop_, std::move(settings), site_->module.kinds,
      [this](const admission_queue::Decision& decision) { Apply(decision); });
}

void Broker::Start() {
  loop_.Spawn(module_host_.Run());
  if (queue_) loop_.Spawn(queue_->Run());
  if (ordering_key_turns_ != nullptr) loop_.Spawn(WatchOrderingKeys());
}

void Broker::UpdateEndpoints(EngineList list) {
  if (queue_) queue_->UpdateEndpoints(list);
  module_host_.Post(std::move(list));
}

void Broker::ApplySettings(std::vector<int> former_class, std::size_t max_requests) {
  limits_.max_requests = max_requests;
  const auto site = site_.snapshot();
  if (queue_) queue_->set_kinds(site->module.kinds);
  if (ordering_key_turns_ != nullptr)
    ordering_key_turns_->set_pause(decision::ToDuration(site->module.ordering_key_pause));
  module_host_.ApplySettings({std::shared_ptr<const Settings>(site, &site->module), std::move(former_class)});
}

void Broker::SetFleetSize(int proxy_count, int proxy_index) {
  if (queue_) queue_->SetProxyCount(proxy_count);
  module_host_.Post(FleetSize{proxy_count, proxy_index});
}

settings::ReferencedNumbers Broker::NumbersInUse() const {
  settings::ReferencedNumbers numbers;
  for (const auto& [id, request] : active_requests_) {
    numbers.classes.insert(request->client_request.class_id);
    numbers.tenants.insert(request->client_request.tenant);
  }
  return numbers;
}

void Broker::Apply(const Action& action) {
  std::visit(Overloaded{
                 [&](const Probe& probe) { loop_.Spawn(RunProbe(probe.engine)); },
                 [](const LogLine& line) { spdlog::info("module: {}", line.text); },
                 [](const WakeAt&) {},           // handled by ModuleHost
                 [](const WatchEngineList&) {},  // the control feed is always followed
                 [&](const auto& request_action) { Deliver(request_action.id, request_action); },
             },
             action);
}

void Broker::Apply(const admission_queue::Decision& decision) {
  std::visit(Overloaded{
                 [&](const admission_queue::Dispatch& dispatch) { Deliver(dispatch.id, dispatch); },
                 [&](const admission_queue::Reject& reject) {
                   Deliver(reject.id, RejectedByQueue{reject.retry_after});
                 },
                 [&](const admission_queue::EstimateUpdate& update) {
                   Deliver(update.id, request::WaitNotice{update.estimate.wait, update.estimate.upper_bound});
                 },
                 [](const admission_queue::LogEvent&) {},  // handled by AdmissionQueueHost
             },
             decision);
}

void Broker::Deliver(RequestId id, RequestEvent event) {
  const auto found = active_requests_.find(id);
  if (found != active_requests_.end()) found->second->Post(std::move(event));
}

Task<> Broker::RunProbe(EngineId engine) {
  const Time started = Now();
  ProbeEnded probed;
  probed.engine = engine;
  const backend::ProbeResult result = co_await engines_.Probe(engine);
  probed.outcome = result.outcome;
  probed.load_report = result.load;
  probed.elapsed = ToNanos(Now() - started);
  module_host_.Post(probed);
}

}  // namespace lemoncroft::broker
