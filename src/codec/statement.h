// Finds the table group of an SQL statement. The proxy reads nothing else from a statement.
#ifndef LEMONCROFT_CODEC_STATEMENT_H_
#define LEMONCROFT_CODEC_STATEMENT_H_

#include <cstdint>
#include <string_view>

namespace lemoncroft::codec {

// Returns the number in the first qualifier (an identifier before a dot) of the form NAME_NUMBER: 17 for
// sales_17.orders. Returns 0 if there is none. Qualifiers staging_NUMBER, strings and comments are ignored.
std::uint32_t TableGroup(std::string_view statement);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_STATEMENT_H_
