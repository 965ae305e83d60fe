// The whole proxy, wired together: runs until a signal has ended it.
#ifndef LEMONCROFT_CLI_PROXY_H_
#define LEMONCROFT_CLI_PROXY_H_

#include "cli/config.h"

namespace lemoncroft::cli {

// Returns the exit code. Throws std::system_error where it cannot listen.
int RunProxy(const Config& config);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_PROXY_H_
