// The scenario language of the tests, described in docs/scenarios.md: reading it and playing it.
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
std::vector<Scenario> ReadScenarios(const std::string& path);

// Plays a scenario; throws std::runtime_error, which names the line, where it goes otherwise.
void Play(const Scenario& scenario);

// One of the parties that are parsers: takes a text, says what it reads out of it.
std::string ParsedBy(const std::string& party, const std::string& text);
bool IsParser(const std::string& party);

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_H_
