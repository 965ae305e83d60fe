// The signals that the proxy handles, read on its event loop: SIGTERM and SIGINT end it, SIGHUP reloads its
// files.
//
// BlockHandledSignals must be called before any thread is started and before any I/O, so that a signal that
// arrives during the start stays pending until it is read. RunProxy owns the SignalReader and uses it on the
// event loop's thread.
#ifndef LEMONCROFT_PROXY_SIGNALS_H_
#define LEMONCROFT_PROXY_SIGNALS_H_

#include "runtime/descriptor.h"
#include "runtime/loop.h"
#include "runtime/task.h"

namespace lemoncroft::proxy {

// Blocks the handled signals, so that their default action does not happen. Must be the first call of main: a
// SIGHUP before it ends the process.
void BlockHandledSignals();

class SignalReader {
 public:
  // `loop` must outlive this object. Throws std::system_error if no signalfd can be created.
  explicit SignalReader(runtime::Loop& loop);

  // Waits for the next signal and returns its number. Signals that arrive between two calls stay pending.
  runtime::Task<int> Next();

 private:
  runtime::Loop& loop_;
  runtime::DescriptorReadiness readiness_;
  runtime::Descriptor fd_;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_SIGNALS_H_
