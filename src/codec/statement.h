// The one thing that is read out of a statement: its group of tables.
#ifndef LEMONCROFT_CODEC_STATEMENT_H_
#define LEMONCROFT_CODEC_STATEMENT_H_

#include <cstdint>
#include <string_view>

namespace lemoncroft::codec {

// The number behind the underscore of the schema that the statement names first (17 in sales_17.orders);
// 0 where there is none. Strings, comments and the schema `staging` don't count.
std::uint32_t TableGroup(std::string_view statement);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_STATEMENT_H_
