// Keys of requests that keep an order, as clients write them, and as the decision module counts them.
#ifndef LEMONCROFT_CODEC_ORDER_KEY_H_
#define LEMONCROFT_CODEC_ORDER_KEY_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemoncroft::codec {

inline constexpr std::size_t kMaxOrderKeyBytes = 128;  // characters

// Whether a text can be an order key: printable ASCII without blanks, 1 to kOrderKeyMost characters.
bool IsOrderKey(std::string_view text);

// The number of a key: never 0, and the same for equal texts. 16 hex digits stand for themselves, other texts
// for their hash (XXH3). Two keys with one number wait for each other, which costs time and breaks no order.
std::uint64_t OrderKeyNumber(std::string_view text);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_ORDER_KEY_H_
