// Ordering keys during a hot restart: requests that are held for another process of this proxy.
#include <spdlog/spdlog.h>

#include <chrono>

#include "broker/broker.h"

namespace lemoncroft::broker {

using decision::ToDuration;
using runtime::Now;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr auto kTurnInterval = 5ms;       // between two updates while requests are held or keys are paused
constexpr auto kProcessInterval = 100ms;  // within which the end of another process is noticed

}  // namespace

void Broker::RegisterOrderingKey(const ActiveRequest& request) {
  const std::uint64_t key = request.client_request.ordering_key;
  if (ordering_key_turns_ != nullptr && key != 0) ordering_key_turns_->Register(request.id, key);
}

bool Broker::MustHoldForOrderingKey(const ActiveRequest& request) {
  if (ordering_key_turns_ == nullptr || ordering_key_turns_->PassToModule(request.id, Now())) return false;
  spdlog::debug("request {}: held for an earlier request of its ordering key in another process",
                request.client_request_id());
  ordering_keys_busy_.Notify();
  return true;
}

void Broker::PauseOrderingKey(ActiveRequest& request) const {
  request.ordering_key_paused_until = Now() + ToDuration(site_->module.ordering_key_pause);
}

void Broker::FinishOrderingKey(const ActiveRequest& request) {
  if (ordering_key_turns_ == nullptr) return;
  ordering_key_turns_->Finish(request.id, request.ordering_key_paused_until, Now());
  if (ordering_key_turns_->busy()) ordering_keys_busy_.Notify();
}

Task<> Broker::WatchOrderingKeys() {
  for (;;) {
    for (const RequestId id : ordering_key_turns_->Update(Now())) module_host_.Post(RequestReleased{id});
    const runtime::Duration interval = ordering_key_turns_->busy() ? kTurnInterval : kProcessInterval;
    co_await runtime::Waiter(loop_, &ordering_keys_busy_, Now() + interval);
  }
}

}  // namespace lemoncroft::broker
