#include "testing/fault_test/link_faults.h"

namespace lemoncroft::fault_test {

using runtime::Task;

namespace {

// Above these limits, messages are lost or late so often that a failure detector may be wrong.
constexpr double kMaxHarmlessLoss = 0.021;
constexpr int kHarmlessDelayDivisor = 4;  // a delay of up to a quarter of the gossip period

simulation::Node NodeOf(std::size_t machine) { return static_cast<simulation::Node>(machine); }

Duration Milliseconds(double value) { return Duration(static_cast<Duration::rep>(1e6 * value)); }

}  // namespace

void LinkFaultInjector::Cut(std::size_t from, std::size_t to) {
  links_.Cut(NodeOf(from), NodeOf(to), true);
  ++cut_count_;
}

void LinkFaultInjector::Restore(std::size_t from, std::size_t to) {
  links_.Cut(NodeOf(from), NodeOf(to), false);
  if (cut_count_ > 0) --cut_count_;
}

void LinkFaultInjector::StartFlapping(std::size_t a, std::size_t b, Duration interval) {
  loop_.Spawn(Flap(a, b, interval));
}

Task<> LinkFaultInjector::Flap(std::size_t a, std::size_t b, Duration interval) {
  ++flapping_count_;
  const std::uint64_t initial_heal_count = heal_count_;
  for (bool cut = true; initial_heal_count == heal_count_; cut = !cut) {
    links_.Cut(NodeOf(a), NodeOf(b), cut);
    links_.Cut(NodeOf(b), NodeOf(a), cut);
    co_await loop_.Sleep(interval);
  }
}

void LinkFaultInjector::Partition(const std::vector<std::vector<std::size_t>>& groups) {
  links_.Heal();
  for (std::size_t group = 0; group < groups.size(); ++group)
    for (const std::size_t machine : groups[group])
      links_.AssignSide(NodeOf(machine), static_cast<int>(group));
  partitioned_ = true;
}

void LinkFaultInjector::Heal() {
  links_.Heal();
  ++heal_count_;
  partitioned_ = false;
  cut_count_ = 0;
  flapping_count_ = 0;
}

void LinkFaultInjector::SetConditions(const LinkConditions& conditions) {
  simulation::LinkFaults faults;
  faults.loss = conditions.loss.value_or(0);
  faults.duplicate = conditions.duplicate.value_or(0);
  faults.garble = conditions.garble.value_or(0);
  faults.delay = Milliseconds(conditions.delay_ms.value_or(0));
  faults.spread = Milliseconds(conditions.spread_ms.value_or(0));
  faults.bandwidth = conditions.rate.value_or(0);
  links_.default_faults() = faults;
  degraded_ = faults.loss + faults.garble > kMaxHarmlessLoss ||
              faults.delay + faults.spread > gossip_period_ / kHarmlessDelayDivisor || faults.bandwidth > 0;
}

bool LinkFaultInjector::IsOpen(std::size_t from, std::size_t to) const {
  return links_.IsOpen(NodeOf(from), NodeOf(to));
}

bool LinkFaultInjector::AnyFault() const {
  return partitioned_ || degraded_ || cut_count_ > 0 || flapping_count_ > 0;
}

}  // namespace lemoncroft::fault_test
