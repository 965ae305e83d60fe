// Finds the table group of an SQL statement, the only property that is read from a statement.
//
// Pure function.
#ifndef LEMONCROFT_CODEC_STATEMENT_H_
#define LEMONCROFT_CODEC_STATEMENT_H_

#include <cstdint>
#include <string_view>

namespace lemoncroft::codec {

// The number after the underscore of the first schema in the statement that has one (17 in sales_17.orders);
// 0 if there is none. Strings, comments and the schema `staging` are ignored.
std::uint32_t TableGroup(std::string_view statement);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_STATEMENT_H_
