#include "proxy/state_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

#include "runtime/descriptor.h"

namespace lemoncroft::proxy {

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool ReplaceFile(const std::string& path, const std::string& text) {
  const std::string temporary_path = path + ".new";
  runtime::Descriptor file(::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  if (!file) return false;
  const bool written = ::write(file.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size());
  return written && std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

}  // namespace lemoncroft::proxy
