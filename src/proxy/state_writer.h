// Replaces a state file on a thread of its own: a rename over a file may wait for a busy disk, and the event
// loop must not.
//
// Contract. The newest text wins: one that has not been written when the next arrives is dropped. Owner: one
// object, used by the event loop's thread; its destructor doesn't wait for the disk. Errors: a file that
// can't be written is logged once until a write succeeds.
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

  // Has the file replaced; returns at once.
  void Write(const std::string& path, std::string text);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_STATE_WRITER_H_
