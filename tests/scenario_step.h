// Helpers for the text of scenario steps: words, NAME=VALUE arguments and comparisons.
#ifndef LEMONCROFT_TESTS_SCENARIO_STEP_H_
#define LEMONCROFT_TESTS_SCENARIO_STEP_H_

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scenario.h"

namespace lemoncroft::scenario {

// Ends the scenario with std::runtime_error.
[[noreturn]] void Fail(const std::string& message);

// Splits a line into words at blanks. '...' is taken literally, "..." may contain blanks, \\n, \\t, \\r and
// \\xHH are escapes, and # at the start of a word begins a comment.
Words Split(const std::string& line);

// The NAME=VALUE arguments of a step. `body` is stored separately.
struct NamedArguments {
  std::vector<std::pair<std::string, std::string>> values;
  std::optional<std::string> body;

  NamedArguments(const Words& words, std::size_t from);
  // Returns the argument `within` in milliseconds, or `default_timeout` if there is none.
  std::chrono::milliseconds Timeout(std::chrono::milliseconds default_timeout) const;
};

// Ends the scenario with an error that names `what` if the values differ.
void ExpectEqual(const std::string& what, const std::string& actual, const std::string& expected);

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_STEP_H_
