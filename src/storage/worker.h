// Runs a Database on a dedicated thread for an owner on the event loop, so that no disk operation blocks the
// loop.
//
// Batches are written in the order of the calls, and NextCompletion reports each one once, in the same order,
// except those that Open drops. The queue is bounded: Write rejects a batch if the queue is full. After a
// batch fails, later batches fail without being written until Open succeeds, because a later batch must not
// be durable when an earlier one is not.
//
// A Worker is owned by one object on the loop. The destructor waits at most kCloseTimeout for the thread; a
// thread that a slow disk blocks for longer ends by itself. Errors are reported as StoreError. See
// docs/storage.md.
#ifndef LEMONCROFT_STORAGE_WORKER_H_
#define LEMONCROFT_STORAGE_WORKER_H_

#include <cstdint>
#include <memory>

#include "runtime/loop.h"
#include "storage/database.h"

namespace lemoncroft::storage {

class Worker {
 public:
  static constexpr std::size_t kMaxQueuedBatches = 256;

  // The result of one Open or Write.
  struct Completion {
    bool is_open = false;          // true for Open, false for Write
    std::uint64_t sequence = 0;    // the number passed to Write
    StoreError error;              // the code is kNone on success
    StoreContents contents;        // the contents read by a successful Open
    runtime::Duration duration{};  // the execution time on the worker's thread, without the time in the queue
  };

  Worker(runtime::Loop& loop, Database::Options options);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Opens the store, or reopens it after a failure. Drops the batches that are still queued; they get no
  // completion.
  void Open();
  // Queues a batch, or returns false if the queue is full. The completion returns `sequence` unchanged.
  [[nodiscard]] bool Write(std::uint64_t sequence, WriteBatch batch);
  // Waits for the next completion. At most one caller may wait at a time.
  runtime::Task<Completion> NextCompletion();
  // Returns the number of requests that the thread has not started.
  std::size_t queue_size() const;

 private:
  struct Shared;
  static void RunThread(std::shared_ptr<Shared> shared);

  runtime::Loop& loop_;
  std::shared_ptr<Shared> shared_;  // shared with the thread, which may outlive this object
  runtime::DescriptorReadiness readiness_;
};

}  // namespace lemoncroft::storage

#endif  // LEMONCROFT_STORAGE_WORKER_H_
