#include "broker/active_request.h"

#include <algorithm>

namespace lemoncroft::broker {

using namespace std::chrono_literals;

namespace {

// Time before the client's deadline that the decision module has for a final decision.
constexpr auto kDecisionMargin = 12ms;
// Time after the client's deadline at which the broker fails the request by itself.
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
