// The `lemoncroft rules` sub-commands: show and change the replicated configuration through a running proxy,
// and recover from the permanent loss of a majority of the voters.
//
// Input that cannot be used is reported as proxy::ConfigError, any other failure as an exit code.
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
  kWait,          // waits until all live proxies are on a version
  kChangeVoters,  // `voters`: adds or removes a voter
  kRecover,       // `refound`: recovers from one store
};

struct RulesCommand {
  RulesAction action = RulesAction::kShow;
  std::string fleet;
  std::vector<std::string> addresses;  // of proxies; they are tried in order until one responds
  bool json = false;
  std::string file;                      // of `propose`; "-" is standard input
  std::uint64_t first = 0, second = 0;   // versions; of `propose`: the base version, 0: the latest
  std::string voter_change, proxy_name;  // of `voters`: "in" or "out", and the voter; of `refound`: its proxy
  std::string store, confirm;            // of `refound`
  double timeout_s = 10;
};

// Exit codes; docs/operating-rules.md documents them.
inline constexpr int kRulesDone = 0, kRulesNoResponse = 1, kRulesConflict = 3, kRulesRejected = 4,
                     kRulesUnknown = 5, kRulesIncomplete = 6;

int RunRules(const RulesCommand& command);

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_RULES_COMMAND_H_
