#include "lemoncroft/gateway.h"

#include <memory>
#include <utility>

#include "decision/scheduler.h"

namespace lemoncroft {

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : scheduler_(std::make_unique<decision::Scheduler>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

std::vector<EngineId> Gateway::EjectedEngines(Nanos now) const { return scheduler_->EjectedEngines(now); }

void Gateway::Step(Nanos now, std::span<const Event> events, std::vector<Action>& actions) {
  scheduler_->Step(now, events, actions);
}

}  // namespace lemoncroft
