// The sub-commands `lemoncroft waiting` and `lemoncroft peers`, which print the state files of a running
// proxy.
//
// Each returns an exit code. It is 1 if the file is missing, cannot be read or is no longer updated; the
// reason is then printed to standard error.
#ifndef LEMONCROFT_CLI_STATE_COMMAND_H_
#define LEMONCROFT_CLI_STATE_COMMAND_H_

#include <string>

namespace lemoncroft::cli {

enum class OutputFormat {
  kText,  // a table
  kJson,  // the unchanged text of the file
};

// Prints the state of the admission queue. Returns 0 or 1.
int ShowQueueState(const std::string& path, OutputFormat format);

// Prints the state of the fleet. Returns 0 for a healthy fleet; 3 if members are suspected or failed, a name
// is contested, or views differ; or 1. For JSON, it returns 0 or 1.
int ShowFleetState(const std::string& path, OutputFormat format);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_STATE_COMMAND_H_
