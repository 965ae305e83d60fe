// Finds the table group of an SQL statement. The proxy reads nothing else from a statement.
#ifndef LEMONCROFT_CODEC_STATEMENT_H_
#define LEMONCROFT_CODEC_STATEMENT_H_

#include <cstdint>
#include <string_view>

namespace lemoncroft::codec {

// Returns the number after the last underscore in the name of the first schema that has one (17 in
// sales_17.orders), or 0 if no schema has one. Strings, comments and the schema `staging` are ignored.
std::uint32_t TableGroup(std::string_view statement);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_STATEMENT_H_
