// Registers every scenario under tests/scenarios as a test of its own.
#include "scenario.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

namespace {

class ScenarioTest : public testing::Test {
 public:
  explicit ScenarioTest(lemoncroft::scenario::Scenario scenario) : scenario_(std::move(scenario)) {}
  void TestBody() override {
    if (scenario_.steps.empty()) FAIL() << "the scenario has no steps";
    try {
      RunScenario(scenario_);
    } catch (const std::exception& e) {
      FAIL() << e.what();
    }
  }

 private:
  lemoncroft::scenario::Scenario scenario_;
};

}  // namespace

int main(int argc, char** argv) {
  testing::InitGoogleTest(&argc, argv);
  for (const auto& file : std::filesystem::directory_iterator(LEMONCROFT_SCENARIOS)) {
    if (file.path().extension() != ".scenario") continue;
    for (const auto& scenario : lemoncroft::scenario::ReadScenarios(file.path())) {
      std::string name = scenario.name;
      std::replace_if(
          name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0; }, '_');
      testing::RegisterTest(file.path().stem().c_str(), name.c_str(), nullptr, nullptr, __FILE__, __LINE__,
                            [scenario]() -> testing::Test* { return new ScenarioTest(scenario); });
    }
  }
  return RUN_ALL_TESTS();
}
