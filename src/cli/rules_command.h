// The `lemoncroft rules` sub-commands: show and change the replicated configuration through a running proxy,
// and recover from the permanent loss of a majority of the voters.
//
// Errors: proxy::ConfigError for unusable input; otherwise an exit code.
#ifndef LEMONCROFT_CLI_RULES_COMMAND_H_
#define LEMONCROFT_CLI_RULES_COMMAND_H_

#include <cstdint>
#include <string>
#include <vector>

namespace lemoncroft::cli {

enum class RulesAction {
  kShow,
  kHistory,
  kPropose,
  kDiff,
  kRevert,
  kWait,          // until all live proxies are on a version
  kChangeVoters,  // `voters`
  kRecover,       // `refound`: from one store
};

struct RulesCommand {
  RulesAction action = RulesAction::kShow;
  std::string fleet;
  std::vector<std::string> at;  // addresses of proxies; the first that responds is used
  bool json = false;
  std::string file;                     // propose: "-" is standard input
  std::uint64_t first = 0, second = 0;  // versions; propose: the base version, 0: the latest
  std::string way, who;                 // voters: "in" or "out"
  std::string store, confirm;           // refound
  double timeout_s = 10;
};

// Exit codes, documented in docs/operating-rules.md.
inline constexpr int kRulesDone = 0, kRulesNoResponse = 1, kRulesConflict = 3, kRulesRejected = 4,
                     kRulesUnknown = 5, kRulesIncomplete = 6;

int RunRules(const RulesCommand& command);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_RULES_COMMAND_H_
