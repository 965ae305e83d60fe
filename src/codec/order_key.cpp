#include "codec/order_key.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace lemoncroft::codec {
namespace {

constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;
constexpr std::uint64_t kReplacementOfZero = 1;  // 0 means that there is no ordering key

}  // namespace

bool IsValidOrderingKey(std::string_view text) {
  const auto is_printable = [](char c) { return c > ' ' && c < 0x7f; };
  return !text.empty() && text.size() <= kMaxOrderingKeyBytes &&
         std::all_of(text.begin(), text.end(), is_printable);
}

std::uint64_t OrderingKeyNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, kHexBase);
  const bool is_hex = text.size() == kHexDigits && error == std::errc() && end == text.data() + text.size();
  if (!is_hex) number = XXH3_64bits(text.data(), text.size());
  return number == 0 ? kReplacementOfZero : number;
}

}  // namespace lemoncroft::codec
