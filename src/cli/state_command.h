// The sub-commands `lemoncroft waiting` and `lemoncroft peers`: print the state files of a running proxy.
//
// Contract. Each returns an exit code: 1 if the file is missing, unreadable or no longer kept up to date,
// with the reason on standard error.
#ifndef LEMONCROFT_CLI_STATE_COMMAND_H_
#define LEMONCROFT_CLI_STATE_COMMAND_H_

#include <string>

namespace lemoncroft::cli {

enum class OutputFormat {
  kText,  // a table
  kJson,  // the file as it is
};

// Prints the state of the admission queue. Returns 0 or 1.
int ShowQueueState(const std::string& path, OutputFormat format);

// Prints the state of the fleet. Returns 0 for a healthy fleet; 3 if members are suspected or failed, a name
// is contested, or views differ; or 1. As JSON: 0 or 1.
int ShowFleetState(const std::string& path, OutputFormat format);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_STATE_COMMAND_H_
