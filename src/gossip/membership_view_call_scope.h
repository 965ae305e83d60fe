// Internal to MembershipView: bookkeeping around its public calls.
#ifndef LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_CALL_SCOPE_H_
#define LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_CALL_SCOPE_H_

#include <algorithm>

#include "gossip/membership_view.h"

namespace lemoncroft::gossip {

// The scope of a public call. The outermost scope detects a pause at its start and, at its end, records when
// the next call is expected.
class MembershipView::CallScope {
 public:
  CallScope(MembershipView& view, Time now) : view_(view), now_(now) {
    if (view_.call_depth_++ == 0) view_.DetectPause(now);
  }
  ~CallScope() {
    if (--view_.call_depth_ == 0) view_.expected_call_ = std::max(now_, view_.NextDeadline());
  }
  CallScope(const CallScope&) = delete;
  CallScope& operator=(const CallScope&) = delete;

 private:
  MembershipView& view_;
  Time now_;
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_CALL_SCOPE_H_
