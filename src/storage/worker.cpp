#include "storage/worker.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <system_error>
#include <thread>

#include "runtime/descriptor.h"

namespace lemoncroft::storage {

namespace {

// The longest time for which the destructor waits for the thread.
constexpr auto kCloseTimeout = std::chrono::milliseconds(200);

}  // namespace

// State that the Worker and its thread share.
struct Worker::Shared {
  struct Request {
    bool is_open = false;  // true for Open, false for Write
    std::uint64_t sequence = 0;
    WriteBatch batch;
  };

  explicit Shared(Database::Options options) : path(options.path), database(std::move(options)) {}

  Completion Execute(const Request& request);

  std::mutex mutex;
  std::condition_variable request_available;
  std::condition_variable thread_ended;
  std::deque<Request> requests;        // guarded by `mutex`
  std::deque<Completion> completions;  // guarded by `mutex`
  bool stopping = false;               // guarded by `mutex`
  bool closed = false;                 // guarded by `mutex`
  // An eventfd, readable while completions wait. Set before the thread starts and not changed after that;
  // reads and writes of it are guarded by `mutex`.
  runtime::Descriptor completion_event;
  const std::string path;
  // Used only by the thread.
  Database database;
  bool writable = false;  // true if the last request succeeded
};

Worker::Worker(runtime::Loop& loop, Database::Options options)
    : loop_(loop), shared_(std::make_shared<Shared>(std::move(options))) {
  shared_->completion_event = runtime::Descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!shared_->completion_event) throw std::system_error(errno, std::generic_category(), "eventfd");
  loop_.Watch(shared_->completion_event.get(), &readiness_);
  std::thread(RunThread, shared_).detach();
}

Worker::~Worker() {
  loop_.Unwatch(shared_->completion_event.get());
  std::unique_lock lock(shared_->mutex);
  shared_->stopping = true;
  shared_->requests.clear();
  shared_->request_available.notify_one();
  shared_->thread_ended.wait_for(lock, kCloseTimeout, [this] { return shared_->closed; });
}

void Worker::Open() {
  const std::lock_guard lock(shared_->mutex);
  shared_->requests.clear();
  shared_->requests.push_back({true, 0, {}});
  shared_->request_available.notify_one();
}

bool Worker::Write(std::uint64_t sequence, WriteBatch batch) {
  const std::lock_guard lock(shared_->mutex);
  if (shared_->requests.size() >= kMaxQueuedBatches) return false;
  shared_->requests.push_back({false, sequence, std::move(batch)});
  shared_->request_available.notify_one();
  return true;
}

std::size_t Worker::queue_size() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->requests.size();
}

Worker::Completion Worker::Shared::Execute(const Request& request) {
  const runtime::Time started_at = runtime::Now();
  Completion completion;
  completion.is_open = request.is_open;
  completion.sequence = request.sequence;
  if (request.is_open) {
    if (auto opened = database.Open()) {
      completion.contents = std::move(*opened);
    } else {
      completion.error = std::move(opened.error());
      database.Close();
    }
  } else if (writable) {
    if (auto written = database.Write(request.batch); !written) completion.error = std::move(written.error());
  } else {
    completion.error = {StoreErrorCode::kFailed, path, "write", 0, "an earlier batch was not written"};
  }
  writable = completion.error.code == StoreErrorCode::kNone;
  completion.duration = runtime::Now() - started_at;
  return completion;
}

void Worker::RunThread(std::shared_ptr<Shared> shared) {
  for (;;) {
    Shared::Request request;
    {
      std::unique_lock lock(shared->mutex);
      shared->request_available.wait(lock, [&] { return shared->stopping || !shared->requests.empty(); });
      if (shared->stopping) break;
      request = std::move(shared->requests.front());
      shared->requests.pop_front();
    }
    Completion completion = shared->Execute(request);
    const std::lock_guard lock(shared->mutex);
    if (shared->stopping) break;
    shared->completions.push_back(std::move(completion));
    const std::uint64_t increment = 1;
    // The write fails only if the counter is full, and then the descriptor is readable already.
    if (::write(shared->completion_event.get(), &increment, sizeof increment) < 0) continue;
  }
  shared->database.Close();
  const std::lock_guard lock(shared->mutex);
  shared->closed = true;
  shared->thread_ended.notify_one();
}

runtime::Task<Worker::Completion> Worker::NextCompletion() {
  for (;;) {
    {
      const std::lock_guard lock(shared_->mutex);
      if (!shared_->completions.empty()) {
        Completion completion = std::move(shared_->completions.front());
        shared_->completions.pop_front();
        co_return completion;
      }
      // Resets the event only when the queue is empty, so that no completion is missed.
      std::uint64_t count = 0;
      while (::read(shared_->completion_event.get(), &count, sizeof count) > 0) {
      }
    }
    co_await runtime::Waiter(loop_, &readiness_.readable, runtime::kNever);
  }
}

}  // namespace lemoncroft::storage
