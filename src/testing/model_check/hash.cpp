#include "testing/model_check/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lemoncroft::model_check {

Hash HashState(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

}  // namespace lemoncroft::model_check
