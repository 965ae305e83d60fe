// A 128-bit hash (XXH3) that identifies a state in a search. Collisions are too improbable to matter.
#ifndef LEMONCROFT_TESTING_MODEL_CHECK_HASH_H_
#define LEMONCROFT_TESTING_MODEL_CHECK_HASH_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemoncroft::model_check {

struct Hash {
  std::uint64_t high = 0, low = 0;
  bool operator==(const Hash&) const = default;
};
struct StateHasher {
  std::size_t operator()(const Hash& hash) const { return static_cast<std::size_t>(hash.low); }
};
Hash HashState(std::string_view text);

}  // namespace lemoncroft::model_check

#endif  // LEMONCROFT_TESTING_MODEL_CHECK_HASH_H_
