// Ordering keys: requests with the same ordering key are executed in order. Clients send an ordering key as
// text; the decision module identifies it by a number.
#ifndef LEMONCROFT_CODEC_ORDER_KEY_H_
#define LEMONCROFT_CODEC_ORDER_KEY_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemoncroft::codec {

inline constexpr std::size_t kMaxOrderingKeyBytes = 128;

// Returns true if a text is a valid ordering key: 1 to kMaxOrderingKeyBytes bytes of printable ASCII without
// spaces.
bool IsValidOrderingKey(std::string_view text);

// Returns the number of a valid ordering key. The number is never 0, and equal texts have equal numbers. A
// text of 16 hex digits is the number itself; any other text is hashed (XXH3). Requests whose ordering keys
// collide wait for each other, which costs time but preserves the order.
std::uint64_t OrderingKeyNumber(std::string_view text);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_ORDER_KEY_H_
