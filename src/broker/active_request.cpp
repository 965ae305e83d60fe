#include "broker/active_request.h"

#include <algorithm>

namespace lemoncroft::broker {

using namespace std::chrono_literals;

namespace {

// The time between DecisionDeadline and the client's deadline, in which the decision module makes its final
// decision.
constexpr auto kDecisionMargin = 12ms;
// The time between the client's deadline and ResponseDeadline, at which the broker itself fails the request.
constexpr auto kResponseGrace = 8ms;

}  // namespace

runtime::Time DecisionDeadlineOf(const request::ClientRequest& client_request) {
  return client_request.deadline - kDecisionMargin;
}

bool ActiveRequest::HasRunningAttempts() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const auto& attempt) { return attempt->running; });
}

bool ActiveRequest::MayHaveRun() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& attempt) { return attempt->running || attempt->may_have_run; });
}

runtime::Time ActiveRequest::DecisionDeadline() const { return DecisionDeadlineOf(client_request); }

runtime::Time ActiveRequest::ResponseDeadline() const { return client_request.deadline + kResponseGrace; }

}  // namespace lemoncroft::broker
