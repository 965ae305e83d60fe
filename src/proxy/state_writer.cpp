#include "proxy/state_writer.h"

#include <spdlog/spdlog.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "proxy/state_file.h"

namespace lemoncroft::proxy {

struct StateWriter::Shared {
  std::mutex mutex;
  std::condition_variable wake;
  std::optional<std::pair<std::string, std::string>> next;  // path, text
  bool ended = false;

  static void Run(const std::shared_ptr<Shared>& shared) {
    for (bool told = false;;) {
      std::pair<std::string, std::string> one;
      {
        std::unique_lock lock(shared->mutex);
        shared->wake.wait(lock, [&] { return shared->ended || shared->next; });
        if (shared->ended) return;
        one = std::move(*std::exchange(shared->next, std::nullopt));
      }
      const bool written = ReplaceFile(one.first, one.second);
      if (!written && !told)
        spdlog::warn("the state can't be written to {}: {}", one.first, std::strerror(errno));
      told = !written;
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
  shared_->next = {path, std::move(text)};
  shared_->wake.notify_one();
}

}  // namespace lemoncroft::proxy
