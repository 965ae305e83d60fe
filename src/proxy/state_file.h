// A state file: JSON that tells operators of a running proxy, replaced as a whole.
//
// Contract. Readers see the former or the new text, never a part. Units: milliseconds of the wall clock, for
// readers only; no decision rests on it.
#ifndef LEMONCROFT_PROXY_STATE_FILE_H_
#define LEMONCROFT_PROXY_STATE_FILE_H_

#include <cstdint>
#include <string>

namespace lemoncroft::proxy {

// Replaces the file; blocks for the disk. Returns false, with `errno` set, if it can't be written.
[[nodiscard]] bool ReplaceFile(const std::string& path, const std::string& text);

std::int64_t UnixMs();

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_STATE_FILE_H_
