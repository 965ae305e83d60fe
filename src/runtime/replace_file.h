// Atomic replacement of small files.
#ifndef LEMONCROFT_RUNTIME_REPLACE_FILE_H_
#define LEMONCROFT_RUNTIME_REPLACE_FILE_H_

#include <sys/types.h>

#include <string>

namespace lemoncroft::runtime {

// Replaces the file atomically: readers see the previous or the new text, never a part of one. Not durable
// over a crash of the machine. Writes `path`.new first, so that concurrent calls for one path must be
// excluded by the callers. May block on the disk. Returns false, with `errno` set, if the file cannot be
// written; it then has its previous text.
[[nodiscard]] bool ReplaceFile(const std::string& path, const std::string& text, mode_t mode);

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_REPLACE_FILE_H_
