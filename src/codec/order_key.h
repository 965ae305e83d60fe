// Ordering keys: requests with the same key are executed in order. Clients write them as texts, the decision
// module knows them as numbers.
//
// Pure functions.
#ifndef LEMONCROFT_CODEC_ORDER_KEY_H_
#define LEMONCROFT_CODEC_ORDER_KEY_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemoncroft::codec {

inline constexpr std::size_t kMaxOrderKeyBytes = 128;

// Whether a text is a valid ordering key: printable ASCII without blanks, 1 to kMaxOrderKeyBytes bytes.
bool IsOrderKey(std::string_view text);

// The number of a valid key: never 0, and the same for equal texts. 16 hex digits are taken as the number,
// other texts are hashed (XXH3). Requests whose keys collide wait for each other, which costs time but keeps
// the order.
std::uint64_t OrderKeyNumber(std::string_view text);

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_ORDER_KEY_H_
