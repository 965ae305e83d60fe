// A lazily started coroutine that its awaiter owns: a Task<T> runs when it is awaited, and returns a T or
// throws.
//
// A Task is awaited at most once. When it ends, its awaiter is resumed directly, without a turn of the loop.
// Destroying a Task destroys its frame, and with it every object that the coroutine owns; this is how tasks
// are stopped at the end of the loop. Objects that a coroutine refers to must outlive its frame. Used on the
// event loop's thread.
#ifndef LEMONCROFT_RUNTIME_TASK_H_
#define LEMONCROFT_RUNTIME_TASK_H_

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace lemoncroft::runtime {

template <typename T = void>
class Task;

namespace detail {

// The common part of all promises: the awaiter to resume at the end, and the exception to rethrow in it.
struct PromiseBase {
  std::coroutine_handle<> continuation = std::noop_coroutine();
  std::exception_ptr error;

  // Suspends the ended coroutine and resumes its awaiter.
  struct FinalAwaiter {
    bool await_ready() noexcept { return false; }
    template <typename P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> self) noexcept {
      return self.promise().continuation;
    }
    void await_resume() noexcept {}
  };
  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() noexcept { error = std::current_exception(); }
};

template <typename T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T v) { value.emplace(std::move(v)); }
  T Take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void Take() {}
};

}  // namespace detail

template <typename T>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  Task& operator=(Task&& other) noexcept {
    if (this != &other) {
      Destroy();
      handle_ = std::exchange(other.handle_, nullptr);
    }
    return *this;
  }
  ~Task() { Destroy(); }

  // For the loop, which starts tasks without an awaiter.
  Handle handle() const { return handle_; }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiter) noexcept {
    handle_.promise().continuation = awaiter;
    return handle_;
  }
  T await_resume() {
    if (handle_.promise().error) std::rethrow_exception(handle_.promise().error);
    return handle_.promise().Take();
  }

 private:
  void Destroy() {
    if (handle_) handle_.destroy();
  }
  Handle handle_;
};

namespace detail {
template <typename T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}
}  // namespace detail

}  // namespace lemoncroft::runtime

#endif  // LEMONCROFT_RUNTIME_TASK_H_
