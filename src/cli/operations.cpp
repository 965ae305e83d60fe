#include "cli/operations.h"

#include <spdlog/spdlog.h>

namespace lemoncroft::cli {

using admin::Call;
using admin::Reply;
using admin::Verb;
using discovery::Directory;
using namespace std::chrono_literals;

namespace {
constexpr auto kMarksBeat = 50ms;  // well within the grace that sends to a drained engine have
}

Reply Operations::Answer(const Call& call) {
  switch (call.verb) {
    case Verb::kReadyz:
      if (phase_ == Phase::kEnding) return {false, "ending", {}};
      if (may_serve && !may_serve()) return {false, "cut off from the fleet's rules", {}};
      if (phase_ == Phase::kServing && directory_.loaded()) return {true, {}, {}};
      return {false, "not ready", {}};
    case Verb::kTelemetry:
      return {true,
              {},
              counters_.Text({broker_.open(), directory_.size(), directory_.Avoided(broker_.Avoided()),
                              more_ ? more_() : decltype(more_())()})};
    case Verb::kExclude:
    case Verb::kInclude:
      return ByHand(call);
  }
  return {false, "unknown call", {}};
}

Reply Operations::ByHand(const Call& call) {
  const bool out = call.verb == Verb::kExclude;
  const std::string& id = call.engine;
  const bool was_out = directory_.IsOut(id);
  if (!out && was_out && agreed_) return {true, {}, {}};
  const Directory::ByHand done =
      out ? directory_.Exclude(id, tell_) : directory_.Include(id, std::chrono::system_clock::now(), tell_);
  if (done == Directory::ByHand::kNobody) return {false, "no database has this id", {}};
  if (done == Directory::ByHand::kTooMany) return {false, "too many databases are out already", {}};
  spdlog::info("operator: {} {}", out ? "exclude" : "include", id);
  if (!marks_ || (!out && !was_out)) return {true, {}, {}};
  const bool kept = out ? marks_->Out(id) : marks_->Back(id);
  if (kept || !out) unkept_.erase(id);
  if (kept || !out) return {true, {}, {}};
  unkept_.insert(id);
  spdlog::warn("operator: exclude {} can't be kept in $TMPDIR: it holds for this process only", id);
  return {true, "for this process only: it can't be kept in $TMPDIR", {}};
}

void Operations::ShareMarks(const std::string& tmpdir, std::chrono::nanoseconds warm) {
  marks_ = std::make_unique<hot_restart::HandMarks>(tmpdir);
  const auto age = std::chrono::duration_cast<hot_restart::UnixTime::duration>(warm);
  marks_->Sweep(std::chrono::system_clock::now() - age);
  TakeOver();
}

runtime::Task<> Operations::FollowMarks() {
  for (;; co_await loop_.Sleep(kMarksBeat)) {
    if (marks_ && marks_->Changed()) TakeOver();
  }
}

void Operations::TakeOver() {
  auto marks = marks_->Read();
  if (!marks) return;  // what is known stands
  for (const std::string& id : unkept_) marks->out.insert(id);
  for (const std::string& id : marks->out)
    if (!directory_.IsOut(id)) spdlog::info("out by hand, as another process was told: {}", id);
  directory_.TakeOver(marks->out, marks->returned, tell_);
}

}  // namespace lemoncroft::cli
