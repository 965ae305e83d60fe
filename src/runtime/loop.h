// The event loop: one thread, one epoll set, one heap of deadlines, one queue of coroutines that are ready.
//
// A coroutine waits through a Waiter: for a ConditionVariable (a socket's readiness, an inbox), for its
// deadline or for its Cancellation, whichever is first. A woken coroutine is queued, never resumed inside the
// call that woke it, so that no caller is re-entered.
//
// Contract. Everything here is used by one thread alone, the one that calls Loop::Run(). Each turn of the
// loop polls the sockets, wakes what is due and resumes the coroutines that were ready at its start. Errors:
// std::system_error if the system refuses an epoll descriptor or a watch. Owner: the program's wiring; the
// loop outlives the objects that refer to it, and its tasks end before Run() returns.
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

// The monotonic clock, which the loop's deadlines go by.
inline Time Now() { return std::chrono::steady_clock::now(); }

// Why a wait ended.
enum class WakeReason { kReady, kTimeout, kCancelled };

class Loop;
class Waiter;

// An event that one coroutine at a time waits for, such as a socket's readiness. Its owner may destroy it
// while somebody waits: the wait then ends by deadline or cancellation alone.
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

// Asks one chain of coroutines to stop: its present wait and all later ones end at once with kCancelled.
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

// The readiness of a descriptor in the epoll set. Errors and hang-ups notify both too.
struct DescriptorReadiness {
  ConditionVariable readable, writable;
};

class Loop {
 public:
  // Resumes the awaiter in the next turn of the loop, behind what is ready now.
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

  // Runs `task` without an awaiter. An exception that leaves it is logged and ends only that task.
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
  // To be called before `readiness` is destroyed if other descriptors keep the same file open: closing `fd`
  // would not end the watch then.
  void Unwatch(int fd);

 private:
  friend class Waiter;
  using TaskList = std::list<Task<>>;

  // Runs a spawned task and marks its root as ended.
  static Task<> RunSpawned(Loop& loop, Task<> task, TaskList::iterator self);
  void Post(std::coroutine_handle<> handle) { ready_.push_back(handle); }
  void RunReady();
  void DropTasks();
  int PollTimeoutMs() const;  // until the earliest deadline; 0 if a coroutine is ready
  void Poll();

  // A binary heap of waiters by deadline. Each waiter has its index, so that it can be removed.
  void HeapPush(Waiter* waiter);
  void HeapErase(Waiter* waiter);
  void HeapPlace(Waiter* waiter, std::size_t at);
  void SiftUp(std::size_t at);
  void SiftDown(std::size_t at);

  Descriptor epoll_;
  bool stopped_ = false;
  std::deque<std::coroutine_handle<>> ready_;
  std::vector<Waiter*> heap_;
  TaskList spawned_;                             // spawned tasks
  std::vector<TaskList::iterator> ended_tasks_;  // of these, those to be destroyed
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_LOOP_H_
