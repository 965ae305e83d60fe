// Writes the state of the admission queue to the JSON file that `lemoncroft waiting` shows, once a second.
//
// Operators' scripts read the keys, so that these must not change. The text is made on the event loop's
// thread and written on a StateWriter's thread. A failure to write the file is logged.
#ifndef LEMONCROFT_PROXY_QUEUE_STATE_H_
#define LEMONCROFT_PROXY_QUEUE_STATE_H_

#include <string>

#include "admission_queue/admission_queue.h"
#include "proxy/reload.h"
#include "runtime/loop.h"

namespace lemoncroft::proxy {

// Returns the state as JSON text. `proxy` is this proxy's name.
std::string QueueStateText(const std::string& proxy, const admission_queue::AdmissionQueue::State& state);

// Replaces the file `state.queue_state_file` once a second until the loop ends. Requires an admission queue.
runtime::Task<> WriteQueueState(runtime::Loop& loop, const ReloadableState& state);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_QUEUE_STATE_H_
