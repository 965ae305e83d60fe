// Replaces a state file on a separate thread, because renaming over a file may block on a busy disk, and the
// event loop must not block.
//
// If a new text arrives before the previous one was written, the previous one is dropped. Of consecutive
// failures to write, only the first is logged. The object is used by the event loop's thread; the destructor
// does not wait for the disk.
#ifndef LEMONCROFT_PROXY_STATE_WRITER_H_
#define LEMONCROFT_PROXY_STATE_WRITER_H_

#include <memory>
#include <string>

namespace lemoncroft::proxy {

class StateWriter {
 public:
  StateWriter();
  ~StateWriter();
  StateWriter(const StateWriter&) = delete;
  StateWriter& operator=(const StateWriter&) = delete;

  // Schedules the replacement of the file and returns at once.
  void Write(const std::string& path, std::string text);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_STATE_WRITER_H_
