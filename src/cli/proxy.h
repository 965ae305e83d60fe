// The whole proxy, wired together: runs until a signal has ended it; SIGHUP has it read its file again.
#ifndef LEMONCROFT_CLI_PROXY_H_
#define LEMONCROFT_CLI_PROXY_H_

#include <string>

#include "cli/config.h"

namespace lemoncroft::cli {

// Holds back the signals that the proxy handles until it can. The first thing a program does: a SIGHUP that
// came before would end it.
void HoldSignals();

// Returns the exit code; `path` is where `config` was read. Throws std::system_error where it cannot listen.
int RunProxy(const Config& config, const std::string& path);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_PROXY_H_
