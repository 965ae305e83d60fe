// The scheduler: one thread, one epoll set, one heap of deadlines, one queue of coroutines that are ready.
//
// A coroutine waits through a Waiter: for a Gate to open (a socket's readiness, an inbox), for its deadline,
// or for its Cancellation, whichever comes first. A woken coroutine is queued, never resumed inside the call
// that woke it, so that no caller is re-entered.
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

using Span = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Span>;
inline constexpr Time kNever = Time::max();

inline Time Now() { return std::chrono::steady_clock::now(); }

enum class Wake { kReady, kTimeout, kCancelled };

class Loop;
class Waiter;

// Something that one coroutine at a time waits for.
class Gate {
 public:
  Gate() = default;
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;
  ~Gate();
  void Open();  // wakes the waiter, if any; an opening is not remembered

 private:
  friend class Waiter;
  Waiter* waiter_ = nullptr;
};

// Asks one chain of coroutines to stop: what it waits for now, and all it would wait for later, ends at once.
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

class Waiter {
 public:
  Waiter(Loop& loop, Gate* gate, Time deadline, Cancellation* cancel = nullptr)
      : loop_(loop), gate_(gate), deadline_(deadline), cancel_(cancel) {}
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;
  ~Waiter() { Unlink(); }

  bool await_ready() {
    if (cancel_ == nullptr || !cancel_->cancelled()) return false;
    result_ = Wake::kCancelled;
    return true;
  }
  void await_suspend(std::coroutine_handle<> handle);
  Wake await_resume() const { return result_; }

 private:
  friend class Loop;
  friend class Gate;
  friend class Cancellation;
  static constexpr std::size_t kNotInHeap = static_cast<std::size_t>(-1);

  void Finish(Wake result);
  void Unlink();

  Loop& loop_;
  Gate* gate_;
  Time deadline_;
  Cancellation* cancel_;
  bool linked_ = false;
  std::size_t heap_index_ = kNotInHeap;
  std::coroutine_handle<> handle_;
  Wake result_ = Wake::kReady;
};

// An owner of a descriptor in the epoll set; both gates open on errors and hang-ups too.
struct Watched {
  Gate readable, writable;
};

class Loop {
 public:
  // Lets all that is ready, and the sockets, have their turn first.
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

  // Runs `task` on its own. An exception that leaves it is logged and ends only that task.
  void Spawn(Task<> task);
  void Run();  // until Stop; then destroys all spawned tasks
  void Stop() { stopped_ = true; }
  Waiter SleepUntil(Time when, Cancellation* cancel = nullptr) {
    return Waiter(*this, nullptr, when, cancel);
  }
  Waiter Sleep(Span span, Cancellation* cancel = nullptr) { return SleepUntil(Now() + span, cancel); }

  Turn NextTurn() { return Turn{*this}; }

  void Watch(int fd, Watched* watched);  // edge-triggered, both directions; throws std::system_error
  // Before the owner of `watched` goes, where another descriptor keeps the socket open.
  void Unwatch(int fd);

 private:
  friend class Waiter;
  using Roots = std::list<Task<>>;

  static Task<> Root(Loop& loop, Task<> task, Roots::iterator self);
  void Post(std::coroutine_handle<> handle) { ready_.push_back(handle); }
  void RunReady();
  void DropTasks();
  void Poll();

  // A binary heap of waiters by deadline, which know their places in it.
  void HeapPush(Waiter* waiter);
  void HeapErase(Waiter* waiter);
  void HeapPlace(Waiter* waiter, std::size_t at);
  void SiftUp(std::size_t at);
  void SiftDown(std::size_t at);

  Descriptor epoll_;
  bool stopped_ = false;
  std::deque<std::coroutine_handle<>> ready_;
  std::vector<Waiter*> heap_;
  Roots roots_;
  std::vector<Roots::iterator> ended_;
};

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_LOOP_H_
