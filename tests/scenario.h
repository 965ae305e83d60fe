// Reads and runs scenarios, which are written in the language that docs/scenarios.md describes.
#ifndef LEMONCROFT_TESTS_SCENARIO_H_
#define LEMONCROFT_TESTS_SCENARIO_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lemoncroft::scenario {

using Words = std::vector<std::string>;

struct Step {
  int line = 0;
  Words words;
};
struct Scenario {
  std::string name;
  std::vector<Step> steps;
};
// Returns the scenarios of a file. Throws std::runtime_error if a step comes before the first scenario.
std::vector<Scenario> ReadScenarios(const std::string& path);

// Runs a scenario. Throws std::runtime_error, which names the line, if a step fails.
void RunScenario(const Scenario& scenario);

// Runs the parser that a party stands for and returns a description of the result.
std::string ParseWith(const std::string& party, const std::string& text);
// Returns true if the party stands for a parser.
bool IsParser(const std::string& party);

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_H_
