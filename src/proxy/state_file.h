// Writing of a state file: JSON text with the state of a running proxy, for operators.
#ifndef LEMONCROFT_PROXY_STATE_FILE_H_
#define LEMONCROFT_PROXY_STATE_FILE_H_

#include <cstdint>
#include <string>

namespace lemoncroft::proxy {

// Replaces the file atomically: readers see the previous or the new text, never a part of one. May block on
// the disk. Returns false, with `errno` set, if the file cannot be written.
[[nodiscard]] bool ReplaceFile(const std::string& path, const std::string& text);

// Returns the time of the wall clock in milliseconds. It is for readers of the state only; no decision
// depends on it.
std::int64_t UnixMs();

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_STATE_FILE_H_
