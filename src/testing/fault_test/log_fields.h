// Reads the NAME=VALUE fields of a proxy's log line.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_LOG_FIELDS_H_
#define LEMONCROFT_TESTING_FAULT_TEST_LOG_FIELDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "runtime/loop.h"

namespace lemoncroft::fault_test {

// Returns the value of a field, up to the next blank; empty if the line has no such field.
std::string LogField(std::string_view line, std::string_view name);
// Returns the number at the start of a text; 0 if the text does not start with a number.
std::uint64_t LeadingNumber(std::string_view text);
// Returns the time at which a line was logged, on the monotonic clock that all processes of a machine
// share; the clock's zero if the line contains no time.
runtime::Time LogTime(std::string_view line);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_LOG_FIELDS_H_
