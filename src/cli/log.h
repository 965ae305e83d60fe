// Sets up the log: lines on standard output.
//
// Owner: main, which calls it once, before the first line is logged.
#ifndef LEMONCROFT_CLI_LOG_H_
#define LEMONCROFT_CLI_LOG_H_

#include <string>

namespace lemoncroft::cli {

enum class LogFormat {
  kText,
  kJson,  // an object a line
};

// `level`: trace, debug, info, warning, error or off. Lines of level info and above are flushed at once.
void SetUpLog(const std::string& level, LogFormat format);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_LOG_H_
