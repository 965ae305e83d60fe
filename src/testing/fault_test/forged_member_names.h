// The names of forged members. The check of a History uses them to distinguish forged members from members
// that were started.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_FORGED_MEMBER_NAMES_H_
#define LEMONCROFT_TESTING_FAULT_TEST_FORGED_MEMBER_NAMES_H_

#include <string_view>

namespace lemoncroft::fault_test {

inline constexpr std::string_view kForgedSenderName = "liar";
inline constexpr std::string_view kForgedMemberPrefix = "lie-";

inline bool IsForgedMember(std::string_view name) {
  return name.starts_with(kForgedMemberPrefix) || name == kForgedSenderName;
}

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_FORGED_MEMBER_NAMES_H_
