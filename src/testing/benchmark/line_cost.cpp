#include "testing/benchmark/line_cost.h"

#include <malloc.h>

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <pcg_random.hpp>
#include <vector>

#include "admission_queue/line.h"

namespace lemoncroft::benchmark {

namespace {

constexpr std::size_t kTurns = 30'000;
constexpr int kRounds = 5;
constexpr admission_queue::Span kStep = std::chrono::milliseconds(1);

// Takes requests of all teams and classes, and carries out what the line decides: each that is handed over is
// sent at once and ends some steps later, so that as many leave as come.
class Mill {
 public:
  Mill(std::size_t depth, bool watched, std::uint64_t seed)
      : random_(seed, 3), line_(Setup(depth)), watched_(watched) {
    line_.SetFleet(1000, now_);
  }

  void Take() {
    boost::random::uniform_int_distribution<std::uint32_t> team(0, 3), klass(0, 2);
    boost::random::uniform_real_distribution<double> work(0.01, 0.3);
    const auto taken = line_.Take({.id = ++last_,
                                   .team = team(random_),
                                   .klass = klass(random_),
                                   .estimate = admission_queue::FromSeconds(work(random_)),
                                   .give_up = now_ + std::chrono::minutes(10),
                                   .watched = watched_},
                                  now_);
    if (taken.refused) {
      std::fprintf(stderr, "refused: %s, estimate %.1f s, pace %.1f, %zu wait\n", Text(taken.refused->why),
                   admission_queue::Seconds(taken.refused->later), line_.Describe(now_).pace[0], waiting());
      std::abort();
    }  // a refused request costs nothing: the figure would be a lie
  }

  void Turn() {
    now_ += kStep;
    while (!running_.empty() && done_ < running_.size() && running_[done_].second <= now_) {
      const admission_queue::Id id = running_[done_++].first;
      line_.Ended(id, 0, std::chrono::milliseconds(100), true, now_);
      line_.Done(id, now_);
    }
    decisions_.clear();
    if (line_.Due() > now_) return;
    line_.Step(now_, decisions_);
    for (const admission_queue::Decision& decision : decisions_) {
      if (const auto* hand = std::get_if<admission_queue::Hand>(&decision)) {
        line_.Sent(hand->id, 0, 1, now_);
        running_.emplace_back(hand->id, now_ + std::chrono::milliseconds(100));
      }
    }
  }

  std::size_t waiting() const { return line_.waiting(); }
  std::size_t ended() const { return done_; }

 private:
  static admission_queue::Settings Setup(std::size_t depth) {
    admission_queue::Settings s;
    for (int t = 0; t < 4; ++t) s.teams.push_back({.name = std::to_string(t), .cores = 100, .barred = {}});
    for (int k = 0; k < 3; ++k) {
      s.classes.push_back(
          {.name = std::to_string(k), .worth = 1.0 + k, .usual = std::chrono::milliseconds(100)});
    }
    s.waiting = 4 * depth;
    return s;
  }

  pcg32 random_;
  admission_queue::Line line_;
  bool watched_;
  admission_queue::Time now_{std::chrono::seconds(1)};
  admission_queue::Id last_ = 0;
  std::vector<std::pair<admission_queue::Id, admission_queue::Time>> running_;
  std::size_t done_ = 0;
  std::vector<admission_queue::Decision> decisions_;
};

}  // namespace

LineCost CostOfLine(std::size_t depth, bool watched, std::uint64_t seed) {
  const auto before = mallinfo2();
  Mill mill(depth, watched, seed);
  while (mill.waiting() < depth) mill.Take();
  const auto filled = mallinfo2();
  LineCost cost;
  cost.bytes_per_request =
      static_cast<double>(filled.uordblks + filled.hblkhd - before.uordblks - before.hblkhd) /
      static_cast<double>(depth);
  for (int turn = 0; turn < 2000; ++turn) mill.Turn();  // warm
  // The least of some rounds: what else the machine does only adds.
  for (int round = 0; round < kRounds; ++round) {
    const std::size_t ended = mill.ended();
    const auto from = std::chrono::steady_clock::now();
    std::size_t taken = 0;
    while (taken < kTurns) {
      for (; mill.waiting() < depth && taken < kTurns; ++taken) mill.Take();
      mill.Turn();
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - from;
    const double us = spent.count() / static_cast<double>(mill.ended() - ended);
    cost.us_per_request = round == 0 ? us : std::min(cost.us_per_request, us);
  }
  return cost;
}

}  // namespace lemoncroft::benchmark
