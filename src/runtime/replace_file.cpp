#include "runtime/replace_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "runtime/descriptor.h"

namespace lemoncroft::runtime {

bool ReplaceFile(const std::string& path, const std::string& text, mode_t mode) {
  const std::string temporary_path = path + ".new";
  Descriptor file(::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode));
  if (!file) return false;
  const ssize_t written = ::write(file.get(), text.data(), text.size());
  if (written < 0) return false;
  if (static_cast<std::size_t>(written) < text.size()) {
    errno = ENOSPC;  // the cause of a short write to a regular file
    return false;
  }
  return std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

}  // namespace lemoncroft::runtime
