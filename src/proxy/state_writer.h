// Replaces a state file on a thread of its own: a rename over a file waits for the disk where this is busy
// (89 to 102 ms were seen beside a program that writes much), and the loop must not.
//
// Contract. The newest text wins: one that was not written when the next comes is never written. A file that
// can't be written costs a log line, the first time. Owner: one object on the loop; its destructor doesn't
// wait for a disk that is slow.
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

  void Write(const std::string& path, std::string text);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_STATE_WRITER_H_
