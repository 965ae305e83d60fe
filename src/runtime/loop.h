// The event loop: one thread, one epoll set, one heap of deadlines, one queue of ready coroutines.
//
// A coroutine waits through a Waiter: for a ConditionVariable (a socket's readiness, an inbox), for its
// deadline or for its Cancellation, whichever is first. A woken coroutine is queued, and never resumed inside
// the call that woke it, so that no caller is re-entered.
//
// Everything here is used only by the thread that calls Loop::Run(). Each turn of the loop polls the sockets,
// wakes the coroutines whose deadline has passed, and then resumes the coroutines that are ready by then;
// those that become ready meanwhile are resumed in the next turn. std::system_error is thrown if the system
// refuses an epoll descriptor or a watch. The loop outlives the objects that refer to it, and its tasks end
// before Run() returns.
#ifndef LEMONCROFT_RUNTIME_LOOP_H_
#define LEMONCROFT_RUNTIME_LOOP_H_

#include <chrono>
#include <coroutine>
#include <cstddef>
#include <deque>
#include <list>
#include <vector>

#include "runtime/descriptor.h"
#include "runtime/task.h"

namespace lemoncroft::runtime {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
inline constexpr Time kNever = Time::max();

// Returns the time of the monotonic clock, on which the loop's deadlines are based.
inline Time Now() { return std::chrono::steady_clock::now(); }

// The reason why a wait ended.
enum class WakeReason { kReady, kTimeout, kCancelled };

class Loop;
class Waiter;

// A condition that one coroutine at a time waits for, such as a socket's readiness. Its owner may destroy it
// while a coroutine waits: the wait then ends only by its deadline or cancellation.
class ConditionVariable {
 public:
  ConditionVariable() = default;
  ConditionVariable(const ConditionVariable&) = delete;
  ConditionVariable& operator=(const ConditionVariable&) = delete;
  ~ConditionVariable();
  void Notify();  // wakes the waiter, if any; has no effect on later waits

 private:
  friend class Waiter;
  Waiter* waiter_ = nullptr;
};

// Asks one chain of coroutines to stop: its current wait and all later ones end immediately with kCancelled.
class Cancellation {
 public:
  Cancellation() = default;
  Cancellation(const Cancellation&) = delete;
  Cancellation& operator=(const Cancellation&) = delete;
  ~Cancellation();
  void Cancel();
  bool cancelled() const { return cancelled_; }

 private:
  friend class Waiter;
  bool cancelled_ = false;
  Waiter* waiter_ = nullptr;
};

// One wait of one coroutine: `co_await Waiter(loop, &condition, deadline, &cancel)` returns why it ended. The
// condition and the cancellation are optional.
class Waiter {
 public:
  Waiter(Loop& loop, ConditionVariable* condition, Time deadline, Cancellation* cancel = nullptr)
      : loop_(loop), condition_(condition), deadline_(deadline), cancel_(cancel) {}
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;
  ~Waiter() { Unlink(); }

  bool await_ready() {
    if (cancel_ == nullptr || !cancel_->cancelled()) return false;
    result_ = WakeReason::kCancelled;
    return true;
  }
  void await_suspend(std::coroutine_handle<> handle);
  WakeReason await_resume() const { return result_; }

 private:
  friend class Loop;
  friend class ConditionVariable;
  friend class Cancellation;
  static constexpr std::size_t kNotInHeap = static_cast<std::size_t>(-1);

  void Finish(WakeReason result);  // ends the wait and queues the coroutine
  void Unlink();                   // from condition, cancellation and heap

  Loop& loop_;
  ConditionVariable* condition_;
  Time deadline_;
  Cancellation* cancel_;
  bool linked_ = false;
  std::size_t heap_index_ = kNotInHeap;
  std::coroutine_handle<> handle_;
  WakeReason result_ = WakeReason::kReady;
};

// The readiness of a descriptor in the epoll set. Errors and hang-ups also notify both conditions.
struct DescriptorReadiness {
  ConditionVariable readable, writable;
  bool peer_closed = false;  // the peer has closed its side, or the connection has failed
};

class Loop {
 public:
  // Resumes the awaiter in the next turn of the loop, after the coroutines that are ready now.
  struct Turn {
    Loop& loop;
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> handle) const { loop.Post(handle); }
    void await_resume() const {}
  };

  Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  ~Loop() { DropTasks(); }

  // Runs `task` without an awaiter. An exception that escapes from it is logged and ends only that task.
  void Spawn(Task<> task);
  // Runs until Stop(), then destroys all spawned tasks.
  void Run();
  void Stop() { stopped_ = true; }
  Waiter SleepUntil(Time when, Cancellation* cancel = nullptr) {
    return Waiter(*this, nullptr, when, cancel);
  }
  Waiter Sleep(Duration duration, Cancellation* cancel = nullptr) {
    return SleepUntil(Now() + duration, cancel);
  }

  Turn NextTurn() { return Turn{*this}; }

  // Notifies the waiters of `readiness` when `fd` becomes readable or writable (edge-triggered), until `fd`
  // is closed. Throws std::system_error.
  void Watch(int fd, DescriptorReadiness* readiness);
  // Must be called before `readiness` is destroyed if other descriptors keep the same file open, because
  // closing `fd` does not end the watch in that case.
  void Unwatch(int fd);

 private:
  friend class Waiter;
  using TaskList = std::list<Task<>>;

  // Runs a spawned task and adds it to `ended_tasks_` at its end.
  static Task<> RunSpawned(Loop& loop, Task<> task, TaskList::iterator self);
  void Post(std::coroutine_handle<> handle) { ready_.push_back(handle); }
  void RunReady();
  void DropTasks();
  int PollTimeoutMs() const;  // until the earliest deadline; 0 if a coroutine is ready
  void Poll();

  // A binary heap of waiters, ordered by deadline. Each waiter stores its index, so that it can be removed.
  void HeapPush(Waiter* waiter);
  void HeapErase(Waiter* waiter);
  void HeapPlace(Waiter* waiter, std::size_t at);
  void SiftUp(std::size_t at);
  void SiftDown(std::size_t at);

  Descriptor epoll_;
  bool stopped_ = false;
  std::deque<std::coroutine_handle<>> ready_;
  std::vector<Waiter*> heap_;
  TaskList spawned_;
  std::vector<TaskList::iterator> ended_tasks_;  // spawned tasks that have ended and are to be destroyed
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_LOOP_H_
