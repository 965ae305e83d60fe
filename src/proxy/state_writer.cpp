#include "proxy/state_writer.h"

#include <spdlog/spdlog.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "runtime/replace_file.h"

namespace lemoncroft::proxy {
namespace {

constexpr mode_t kStateFileMode = 0644;

}  // namespace

struct StateWriter::Shared {
  struct PendingFile {
    std::string path, text;
  };

  std::mutex mutex;
  std::condition_variable wake;
  std::optional<PendingFile> next;
  bool ended = false;

  static void Run(const std::shared_ptr<Shared>& shared) {
    for (bool failure_logged = false;;) {
      PendingFile file;
      {
        std::unique_lock lock(shared->mutex);
        shared->wake.wait(lock, [&] { return shared->ended || shared->next; });
        if (shared->ended) return;
        file = std::move(*std::exchange(shared->next, std::nullopt));
      }
      const bool written = runtime::ReplaceFile(file.path, file.text, kStateFileMode);
      if (!written && !failure_logged)
        spdlog::warn("cannot write the state file {}: {}", file.path, std::strerror(errno));
      failure_logged = !written;
    }
  }
};

StateWriter::StateWriter() : shared_(std::make_shared<Shared>()) {
  std::thread(Shared::Run, shared_).detach();
}

StateWriter::~StateWriter() {
  const std::lock_guard lock(shared_->mutex);
  shared_->ended = true;
  shared_->wake.notify_one();
}

void StateWriter::Write(const std::string& path, std::string text) {
  const std::lock_guard lock(shared_->mutex);
  shared_->next = Shared::PendingFile{path, std::move(text)};
  shared_->wake.notify_one();
}

}  // namespace lemoncroft::proxy
