// A Database on a thread of its own, for an owner on the event loop: no disk operation blocks the loop.
//
// Contract. Batches are written in the order of the calls, and each one is reported once by NextCompletion,
// in that order. The queue is bounded; Write refuses a batch if it is full. After a batch fails, later ones
// fail too, unwritten, until Open succeeds: a later batch must not be durable when an earlier one is not.
// Owner: one object on the loop. The destructor waits at most kCloseTimeout for the thread; a thread that a
// slow disk holds up longer ends on its own. Units: batches. Errors: StoreError. Source: docs/storage.md.
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
    bool is_open = false;          // of Open; else of Write
    std::uint64_t sequence = 0;    // as passed to Write
    StoreError error;              // code kNone: success
    StoreContents contents;        // of a successful Open
    runtime::Duration duration{};  // on the worker's thread, without the time in the queue
  };

  Worker(runtime::Loop& loop, Database::Options options);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Opens the store, also again after a failure. Drops the batches that are still queued, without a
  // completion.
  void Open();
  // Queues a batch. Returns false, and keeps nothing of it, if the queue is full. `sequence` is the caller's.
  [[nodiscard]] bool Write(std::uint64_t sequence, WriteBatch batch);
  // Waits for the next completion. One caller at a time.
  runtime::Task<Completion> NextCompletion();
  // Requests that the thread has not taken yet.
  std::size_t queue_size() const;

 private:
  struct Shared;
  static void RunThread(std::shared_ptr<Shared> shared);

  runtime::Loop& loop_;
  std::shared_ptr<Shared> shared_;  // with the thread, which may outlive this object
  runtime::DescriptorReadiness readiness_;
};

}  // namespace lemoncroft::storage

#endif  // LEMONCROFT_STORAGE_WORKER_H_
