// The steps of a scenario as text: words, NAME=VALUE arguments and comparisons.
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

// Splits a line at blanks. '...' is taken literally, "..." keeps blanks, \\n, \\t, \\r and \\xHH are escapes,
// # begins a comment.
Words Split(const std::string& line);

// The arguments NAME=VALUE of a step; `body` is kept apart.
struct NamedArguments {
  std::vector<std::pair<std::string, std::string>> values;
  std::optional<std::string> body;

  NamedArguments(const Words& words, std::size_t from);
  // The argument `within` in milliseconds; `otherwise` if there is none.
  std::chrono::milliseconds Timeout(std::chrono::milliseconds otherwise) const;
};

// Ends the scenario if the values differ.
void ExpectEqual(const std::string& what, const std::string& actual, const std::string& expected);

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_STEP_H_
