// Configures the log, which is written to standard output.
#ifndef LEMONCROFT_CLI_LOG_H_
#define LEMONCROFT_CLI_LOG_H_

#include <string>

namespace lemoncroft::cli {

enum class LogFormat {
  kText,
  kJson,  // one object per line
};

// Must be called once, before the first line is logged. `level` is trace, debug, info, warning, error or off.
// Lines of level info and above are flushed at once.
void SetUpLog(const std::string& level, LogFormat format);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_LOG_H_
