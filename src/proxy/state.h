// What a running proxy tells of itself to operators: a state file, replaced whole once a second, and the
// command that shows it. A file that can't be written costs a log line, never a request.
#ifndef LEMONCROFT_PROXY_STATE_H_
#define LEMONCROFT_PROXY_STATE_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "admission_queue/admission_queue.h"
#include "runtime/loop.h"

namespace lemoncroft::proxy {

// The state as JSON text.
std::string StateText(const std::string& proxy, const admission_queue::AdmissionQueue::State& state);
// Replaces the file; false where it can't, with `errno` set.
bool ReplaceFile(const std::string& path, const std::string& text);

// Of the wall clock: for those who read the file, not for any decision.
std::int64_t UnixMs();

// Reads a state file and has it printed, as it is or by `print`, whose exit code is returned; 1 where there
// is none, it can't be read or is no longer kept up to date.
int ShowFile(const std::string& path, bool json,
             const std::function<int(const nlohmann::ordered_json&)>& print);

// Prints the state file of the admission queue. Returns 0, or 1 if there is none, it can't be read or is no
// longer kept up to date.
int ShowState(const std::string& path, bool json);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_STATE_H_
