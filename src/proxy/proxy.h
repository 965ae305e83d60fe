// The whole proxy, wired together: runs until a signal has ended it; SIGHUP has it read its file again.
#ifndef LEMONCROFT_PROXY_PROXY_H_
#define LEMONCROFT_PROXY_PROXY_H_

#include <string>

#include "proxy/config.h"

namespace lemoncroft::proxy {

// Holds back the signals that the proxy handles until it can. The first thing a program does: a SIGHUP that
// came before would end it.
void BlockHandledSignals();

struct StartupOptions {
  std::string config_path;
  std::string operator_path;       // empty: no operator's file
  std::string inherited_listener;  // $PROXY_FD: descriptor of the clients' listening socket; empty: bind one
};

// Returns the exit code; `options` tells where `config` was read, and may be read again. Throws
// std::system_error where it cannot listen, operator_config::OperatorError for an operator's file that is
// wrong.
int RunProxy(Config config, const StartupOptions& options);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_PROXY_H_
