// The running proxy: builds and connects its parts, runs the event loop, and ends after SIGTERM.
//
// Files of this folder: resource_limits (figures from the configuration), signals, reload (SIGHUP, the
// replicated configuration), hot_restart (beside another process), shutdown (SIGTERM), operations (operators'
// calls), fleet and fleet_state, replicated_config_* and voter_store, queue_state, state_file and
// state_writer, config.
//
// Owner: main; one thread. docs/architecture.md has the parts and what each owns.
#ifndef LEMONCROFT_PROXY_PROXY_H_
#define LEMONCROFT_PROXY_PROXY_H_

#include <string>

#include "proxy/config.h"

namespace lemoncroft::proxy {

struct StartupOptions {
  std::string config_path;         // read again at a reload
  std::string operator_path;       // likewise; empty: no operator's file
  std::string inherited_listener;  // $PROXY_FD: descriptor of the clients' listening socket; empty: bind one
};

// Runs the proxy until a signal has ended it; SIGHUP reloads its files. `config` was read from
// `options.config_path`. Returns the exit code. Throws std::system_error if it can't listen, ConfigError for
// an inherited descriptor or a configuration of the fleet that can't be used, operator_config::OperatorError
// for a faulty operator's file.
int RunProxy(Config config, const StartupOptions& options);

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_PROXY_H_
