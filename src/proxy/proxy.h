// The running proxy: constructs and connects its parts, runs the event loop, and ends after SIGTERM.
//
// The other files of this folder: config; resource_limits (limits derived from the configuration); signals;
// reload (SIGHUP, and activation of the replicated configuration); hot_restart (several processes of one
// proxy); shutdown (SIGTERM); operations (operators' commands); fleet and fleet_state; replicated_config_*
// and voter_store; queue_state and state_writer (state files).
//
// Everything runs on the thread that calls RunProxy, except for the writing of state files and the voter's
// store. docs/architecture.md describes the parts and their ownership.
#ifndef LEMONCROFT_PROXY_PROXY_H_
#define LEMONCROFT_PROXY_PROXY_H_

#include <string>

#include "proxy/config.h"

namespace lemoncroft::proxy {

struct StartupOptions {
  std::string config_path;         // read again at each reload
  std::string operator_path;       // read again at each reload; empty: no operator's file
  std::string inherited_listener;  // $PROXY_FD, the number of the listening descriptor; empty: bind one
};

// Runs the proxy until a signal ends it; SIGHUP reloads its files. `config` was read from
// `options.config_path`. Returns the exit code. Throws std::system_error if the proxy cannot listen,
// ConfigError if the inherited descriptor or the configuration of the fleet cannot be used, and
// operator_config::OperatorError if the operator's file is invalid.
int RunProxy(Config config, const StartupOptions& options);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_PROXY_H_
