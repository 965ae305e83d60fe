#include "codec/order_key.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace lemoncroft::codec {
namespace {

constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;
constexpr std::uint64_t kInsteadOfZero = 1;  // 0 stands for no key

}  // namespace

bool IsOrderKey(std::string_view text) {
  const auto printable = [](char c) { return c > ' ' && c < 0x7f; };
  return !text.empty() && text.size() <= kMaxOrderKeyBytes &&
         std::all_of(text.begin(), text.end(), printable);
}

std::uint64_t OrderKeyNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, kHexBase);
  const bool hex = text.size() == kHexDigits && error == std::errc() && end == text.data() + text.size();
  if (!hex) number = XXH3_64bits(text.data(), text.size());
  return number == 0 ? kInsteadOfZero : number;
}

}  // namespace lemoncroft::codec
