#include "broker/line_host.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace lemoncroft::broker {

using runtime::Now;

namespace {

void Tell(const admission_queue::Refuse& refuse) {
  spdlog::debug("waiting: request number {} turned away: {}", refuse.id, admission_queue::Text(refuse.why));
}

}  // namespace

runtime::Task<> LineHost::Run() {
  std::vector<admission_queue::Decision> decisions;
  for (;;) {
    while (line_.Due() > Now()) co_await runtime::Waiter(loop_, &work_, line_.Due());
    decisions.clear();
    line_.Step(Now(), decisions);
    for (const admission_queue::Decision& decision : decisions) {
      if (const auto* say = std::get_if<admission_queue::Say>(&decision))
        spdlog::info("waiting: {}", say->text);
      else
        carry_out_(decision);
      if (const auto* refuse = std::get_if<admission_queue::Refuse>(&decision)) Tell(*refuse);
    }
    co_await loop_.NextTurn();  // whatever the line asks for, others have their turn
  }
}

void LineHost::TellList(const EngineList& list) {
  if (!list.entries) return;
  const double before = Cores();
  if (list.kind != ListKind::kChange) ready_.clear();
  for (const EngineEntry& entry : *list.entries) {
    const double cores = entry.kind < kinds_.size() ? kinds_[entry.kind].cores : 0;
    if (entry.readiness == Readiness::kReady)
      ready_[entry.engine] = std::max(1.0, cores);
    else
      ready_.erase(entry.engine);
  }
  if (Cores() != before) line_.SetFleet(Cores(), Now());
  work_.Open();
}

void LineHost::Configure(admission_queue::Settings settings) {
  settings_ = std::move(settings);
  if (proxies_) settings_.part = 1.0 / std::max(1, *proxies_);
  line_.Configure(settings_, Now());
  work_.Open();
}

void LineHost::Divide(int proxies) {
  proxies_ = proxies;
  Configure(settings_);
}

admission_queue::Line::Taken LineHost::Take(const admission_queue::Ticket& ticket) {
  work_.Open();
  const admission_queue::Line::Taken taken = line_.Take(ticket, Now());
  if (taken.refused) Tell(*taken.refused);
  return taken;
}

void LineHost::Sent(RequestId id, int attempt, int priority) {
  line_.Sent(id, attempt, priority, Now());
  work_.Open();
}

void LineHost::Ended(RequestId id, int attempt, admission_queue::Work told, bool ran) {
  line_.Ended(id, attempt, told, ran, Now());
  work_.Open();
}

void LineHost::Done(RequestId id) {
  line_.Done(id, Now());
  work_.Open();
}

runtime::Span LineHost::ComeBack(admission_queue::Team team, admission_queue::Klass klass) {
  return line_.ComeBack(team, klass, Now());
}

double LineHost::Cores() const {
  double cores = 0;
  for (const auto& [engine, its] : ready_) cores += its;
  return cores;
}

}  // namespace lemoncroft::broker
