// The findings of a trial's checks while it runs, collected from all parts of the fault tester.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_FINDINGS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_FINDINGS_H_

#include <string>
#include <vector>

namespace lemoncroft::fault_test {

struct Findings {
  std::vector<std::string> violations;  // each names a violated rule and its cause, in the order of detection
  std::vector<std::string> void_reasons;  // reasons why the machine was too slow for a valid result
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_FINDINGS_H_
