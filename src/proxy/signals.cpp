#include "proxy/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace lemoncroft::proxy {
namespace {

sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

}  // namespace

void BlockHandledSignals() {
  const sigset_t set = HandledSignals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

SignalReader::SignalReader(runtime::Loop& loop) : loop_(loop) {
  const sigset_t set = HandledSignals();
  fd_ = runtime::Descriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
  loop_.Watch(fd_.get(), &readiness_);
}

runtime::Task<int> SignalReader::Next() {
  signalfd_siginfo info{};
  while (::read(fd_.get(), &info, sizeof info) != sizeof info) {
    co_await runtime::Waiter(loop_, &readiness_.readable, runtime::kNever);
  }
  co_return static_cast<int>(info.ssi_signo);
}

}  // namespace lemoncroft::proxy
