#include "testing/benchmark/admission_queue_cost.h"

#include <malloc.h>

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <pcg_random.hpp>
#include <vector>

#include "admission_queue/admission_queue.h"

namespace lemoncroft::benchmark {

namespace {

constexpr std::size_t kRequestsPerRound = 30'000;
constexpr int kRounds = 5;
constexpr int kWarmUpSteps = 2000;
constexpr auto kRunTime = std::chrono::milliseconds(100);
constexpr admission_queue::Duration kStep = std::chrono::milliseconds(1);

// Submits requests of all tenants and classes. Each dispatched request starts immediately and ends after
// kRunTime. The caller replaces dispatched requests, which keeps the queue length constant.
class SteadyLoad {
 public:
  SteadyLoad(std::size_t queue_length, bool wants_updates, std::uint64_t seed)
      : random_(seed, 3), queue_(MakeSettings(queue_length)), wants_updates_(wants_updates) {
    queue_.SetFleetCores(1000, now_);
  }

  void Submit() {
    boost::random::uniform_int_distribution<std::uint32_t> tenant(0, 3), class_id(0, 2);
    boost::random::uniform_real_distribution<double> work(0.01, 0.3);
    const auto submitted = queue_.Submit({.id = ++last_id_,
                                          .tenant = tenant(random_),
                                          .class_id = class_id(random_),
                                          .estimated_work = admission_queue::FromSeconds(work(random_)),
                                          .deadline = now_ + std::chrono::minutes(10),
                                          .wants_updates = wants_updates_},
                                         now_);
    if (submitted.rejected) {
      std::fprintf(stderr, "request rejected: %s, retry after %.1f s, dispatch rate %.1f, %zu waiting\n",
                   Description(submitted.rejected->reason),
                   admission_queue::Seconds(submitted.rejected->retry_after),
                   queue_.Describe(now_).dispatch_rate[0], waiting());
      std::abort();
    }  // a rejected request costs nothing and would falsify the result
  }

  void Step() {
    now_ += kStep;
    while (!running_.empty() && ended_ < running_.size() && running_[ended_].second <= now_) {
      const admission_queue::RequestId id = running_[ended_++].first;
      queue_.OnAttemptEnded(id, 0, std::chrono::milliseconds(100), true, now_);
      queue_.OnRequestCompleted(id, now_);
    }
    decisions_.clear();
    if (queue_.NextStepTime() > now_) return;
    queue_.Step(now_, decisions_);
    for (const admission_queue::Decision& decision : decisions_) {
      if (const auto* dispatch = std::get_if<admission_queue::Dispatch>(&decision)) {
        queue_.OnAttemptStarted(dispatch->id, 0, 1, now_);
        running_.emplace_back(dispatch->id, now_ + kRunTime);
      }
    }
  }

  std::size_t waiting() const { return queue_.waiting(); }
  std::size_t ended() const { return ended_; }

 private:
  static admission_queue::Settings MakeSettings(std::size_t queue_length) {
    admission_queue::Settings s;
    for (int t = 0; t < 4; ++t)
      s.tenants.push_back({.name = std::to_string(t), .cores = 100, .barred_classes = {}});
    for (int k = 0; k < 3; ++k) {
      s.classes.push_back({.name = std::to_string(k),
                           .priority_weight = 1.0 + k,
                           .default_work = std::chrono::milliseconds(100)});
    }
    s.max_waiting = 4 * queue_length;
    return s;
  }

  pcg32 random_;
  admission_queue::AdmissionQueue queue_;
  bool wants_updates_;
  admission_queue::Time now_{std::chrono::seconds(1)};
  admission_queue::RequestId last_id_ = 0;
  std::vector<std::pair<admission_queue::RequestId, admission_queue::Time>> running_;
  std::size_t ended_ = 0;
  std::vector<admission_queue::Decision> decisions_;
};

}  // namespace

AdmissionQueueCost MeasureAdmissionQueueCost(std::size_t queue_length, bool wants_updates,
                                             std::uint64_t seed) {
  const auto before = mallinfo2();
  SteadyLoad load(queue_length, wants_updates, seed);
  while (load.waiting() < queue_length) load.Submit();
  const auto filled = mallinfo2();
  AdmissionQueueCost cost;
  cost.bytes_per_request =
      static_cast<double>(filled.uordblks + filled.hblkhd - before.uordblks - before.hblkhd) /
      static_cast<double>(queue_length);
  for (int step = 0; step < kWarmUpSteps; ++step) load.Step();
  // The minimum over several rounds, because other load on the machine can only increase the time.
  for (int round = 0; round < kRounds; ++round) {
    const std::size_t ended = load.ended();
    const auto from = std::chrono::steady_clock::now();
    std::size_t submitted = 0;
    while (submitted < kRequestsPerRound) {
      for (; load.waiting() < queue_length && submitted < kRequestsPerRound; ++submitted) load.Submit();
      load.Step();
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - from;
    const double us = spent.count() / static_cast<double>(load.ended() - ended);
    cost.us_per_request = round == 0 ? us : std::min(cost.us_per_request, us);
  }
  return cost;
}

}  // namespace lemoncroft::benchmark
