// The signals that the proxy handles, read on its event loop: SIGTERM and SIGINT end it, SIGHUP reloads its
// files.
//
// Contract. BlockHandledSignals comes before any thread or I/O, so that a signal that arrives during the
// start waits until it is read. Owner: RunProxy; one thread. Errors: std::system_error without a signalfd.
#ifndef LEMONCROFT_PROXY_SIGNALS_H_
#define LEMONCROFT_PROXY_SIGNALS_H_

#include "runtime/descriptor.h"
#include "runtime/loop.h"
#include "runtime/task.h"

namespace lemoncroft::proxy {

// Blocks the default action of these signals. The first call of main: an earlier SIGHUP would end the
// process.
void BlockHandledSignals();

class SignalReader {
 public:
  // `loop` outlives this object.
  explicit SignalReader(runtime::Loop& loop);

  // Waits for the next signal and returns its number. Signals that arrive between two calls are kept.
  runtime::Task<int> Next();

 private:
  runtime::Loop& loop_;
  runtime::DescriptorReadiness readiness_;
  runtime::Descriptor fd_;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_SIGNALS_H_
