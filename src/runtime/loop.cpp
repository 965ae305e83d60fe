#include "runtime/loop.h"

#include <spdlog/spdlog.h>
#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace lemoncroft::runtime {
namespace {

constexpr std::size_t kEventsPerPoll = 256;
constexpr std::int64_t kMaxPollMs = 60'000;

void NotifyWaiters(const epoll_event& event) {
  auto* readiness = static_cast<DescriptorReadiness*>(event.data.ptr);
  const bool has_failed = (event.events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0;
  readiness->peer_closed = readiness->peer_closed || has_failed;
  if (has_failed || (event.events & EPOLLIN) != 0) readiness->readable.Notify();
  if (has_failed || (event.events & EPOLLOUT) != 0) readiness->writable.Notify();
}

}  // namespace

ConditionVariable::~ConditionVariable() {
  if (waiter_ != nullptr) waiter_->condition_ = nullptr;
}

void ConditionVariable::Notify() {
  if (waiter_ != nullptr) waiter_->Finish(WakeReason::kReady);
}

Cancellation::~Cancellation() {
  if (waiter_ != nullptr) waiter_->cancel_ = nullptr;
}

void Cancellation::Cancel() {
  cancelled_ = true;
  if (waiter_ != nullptr) waiter_->Finish(WakeReason::kCancelled);
}

void Waiter::await_suspend(std::coroutine_handle<> handle) {
  handle_ = handle;
  linked_ = true;
  if (condition_ != nullptr) condition_->waiter_ = this;
  if (cancel_ != nullptr) cancel_->waiter_ = this;
  if (deadline_ != kNever) loop_.HeapPush(this);
}

void Waiter::Finish(WakeReason result) {
  Unlink();
  result_ = result;
  loop_.Post(handle_);
}

void Waiter::Unlink() {
  if (!linked_) return;
  linked_ = false;
  if (condition_ != nullptr && condition_->waiter_ == this) condition_->waiter_ = nullptr;
  if (cancel_ != nullptr && cancel_->waiter_ == this) cancel_->waiter_ = nullptr;
  if (heap_index_ != kNotInHeap) loop_.HeapErase(this);
}

Loop::Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

void Loop::Watch(int fd, DescriptorReadiness* readiness) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = readiness;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

void Loop::Unwatch(int fd) { ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr); }

Task<> Loop::RunSpawned(Loop& loop, Task<> task, TaskList::iterator self) {
  try {
    co_await task;
  } catch (const std::exception& e) {
    spdlog::error("a spawned task ended with an exception: {}", e.what());
  }
  loop.ended_tasks_.push_back(self);
}

void Loop::Spawn(Task<> task) {
  // The list node is created first, because the coroutine refers to it when it ends.
  auto self = spawned_.emplace(spawned_.end(), Task<>(nullptr));
  *self = RunSpawned(*this, std::move(task), self);
  Post(self->handle());
}

void Loop::RunReady() {
  // Resumes only the coroutines that are ready now. Those that become ready meanwhile run after the sockets
  // have been polled again.
  for (std::size_t n = ready_.size(); n > 0 && !stopped_; --n) {
    std::coroutine_handle<> handle = ready_.front();
    ready_.pop_front();
    handle.resume();
    for (TaskList::iterator it : ended_tasks_) spawned_.erase(it);
    ended_tasks_.clear();
  }
}

void Loop::DropTasks() {
  ready_.clear();
  while (!spawned_.empty()) spawned_.pop_front();
}

int Loop::PollTimeoutMs() const {
  constexpr int kNoTimeout = -1;
  if (!ready_.empty()) return 0;
  if (heap_.empty()) return kNoTimeout;
  const Duration left = heap_.front()->deadline_ - Now();
  const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  return static_cast<int>(std::clamp<std::int64_t>(rounded_up, 0, kMaxPollMs));
}

void Loop::Poll() {
  const int wait_ms = PollTimeoutMs();
  // The array needs no initial value: only the part that epoll_wait() has filled is read.
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
  std::array<epoll_event, kEventsPerPoll> events;
  const int n = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), wait_ms);
  if (n < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  for (int i = 0; i < n; ++i) NotifyWaiters(events[static_cast<std::size_t>(i)]);
  const Time now = Now();
  while (!heap_.empty() && heap_.front()->deadline_ <= now) heap_.front()->Finish(WakeReason::kTimeout);
}

void Loop::Run() {
  while (!stopped_) {
    Poll();
    RunReady();
  }
  DropTasks();
}

void Loop::HeapPlace(Waiter* waiter, std::size_t at) {
  heap_[at] = waiter;
  waiter->heap_index_ = at;
}

void Loop::HeapPush(Waiter* waiter) {
  heap_.push_back(waiter);
  SiftUp(heap_.size() - 1);
}

void Loop::HeapErase(Waiter* waiter) {
  const std::size_t at = waiter->heap_index_;
  waiter->heap_index_ = Waiter::kNotInHeap;
  Waiter* last = heap_.back();
  heap_.pop_back();
  if (last == waiter) return;
  HeapPlace(last, at);
  SiftUp(at);
  SiftDown(last->heap_index_);
}

void Loop::SiftUp(std::size_t at) {
  Waiter* moving = heap_[at];
  for (; at > 0 && moving->deadline_ < heap_[(at - 1) / 2]->deadline_; at = (at - 1) / 2) {
    HeapPlace(heap_[(at - 1) / 2], at);
  }
  HeapPlace(moving, at);
}

void Loop::SiftDown(std::size_t at) {
  Waiter* moving = heap_[at];
  for (;;) {
    std::size_t child = 2 * at + 1;
    if (child >= heap_.size()) break;
    if (child + 1 < heap_.size() && heap_[child + 1]->deadline_ < heap_[child]->deadline_) ++child;
    if (heap_[child]->deadline_ >= moving->deadline_) break;
    HeapPlace(heap_[child], at);
    at = child;
  }
  HeapPlace(moving, at);
}

}  // namespace lemoncroft::runtime
