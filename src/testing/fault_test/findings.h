// What a trial's checks found while it ran, collected by all parts of the fault tester.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_FINDINGS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_FINDINGS_H_

#include <string>
#include <vector>

namespace lemoncroft::fault_test {

struct Findings {
  std::vector<std::string> violations;    // each a broken rule and what broke it, in the order found
  std::vector<std::string> void_reasons;  // why the machine was too slow for the trial to count
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_FINDINGS_H_
