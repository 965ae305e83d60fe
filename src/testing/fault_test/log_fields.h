// Reads the fields "NAME=VALUE" of a proxy's log line.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LOG_FIELDS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LOG_FIELDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "runtime/loop.h"

namespace lemoncroft::fault_test {

// The value of a field, up to the next blank; empty if the line has no such field.
std::string LogField(std::string_view line, std::string_view name);
// The number that a text begins with; 0 if it begins with none.
std::uint64_t LeadingNumber(std::string_view text);
// When a line was logged, by the monotonic clock that all processes of a machine share; the clock's zero if
// the line does not say.
runtime::Time LogTime(std::string_view line);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LOG_FIELDS_H_
