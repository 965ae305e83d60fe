// The state of the admission queue, as `lemoncroft waiting` shows it: a JSON file, replaced once a second.
//
// Contract. The keys are read by operators' scripts and must not change. Owner: the event loop's thread; the
// file is written by a StateWriter's thread. Errors: a file that can't be written costs a log line.
#ifndef LEMONCROFT_PROXY_QUEUE_STATE_H_
#define LEMONCROFT_PROXY_QUEUE_STATE_H_

#include <string>

#include "admission_queue/admission_queue.h"
#include "proxy/reload.h"
#include "runtime/loop.h"

namespace lemoncroft::proxy {

// The state as JSON text; `proxy`: this proxy's name.
std::string QueueStateText(const std::string& proxy, const admission_queue::AdmissionQueue::State& state);

// Keeps the file that `state` names up to date until the loop ends. Requires an admission queue.
runtime::Task<> WriteQueueState(runtime::Loop& loop, const ReloadableState& state);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_QUEUE_STATE_H_
