// A token bucket. It gains `rate` tokens per second, holds at most `depth` seconds' worth of tokens, and is
// full at first.
//
// The caller passes the current time in nanoseconds, which never runs backwards.
#ifndef LEMONCROFT_LIMITS_TOKEN_BUCKET_H_
#define LEMONCROFT_LIMITS_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

namespace lemoncroft::limits {

class TokenBucket {
 public:
  // Takes one token; returns false if there is none.
  bool Take(std::int64_t now, double rate, double depth) {
    constexpr double kNanosPerSecond = 1e9;
    const bool first = updated_at_ < 0;
    tokens_ += first ? rate * depth : rate * (static_cast<double>(now - updated_at_) / kNanosPerSecond);
    tokens_ = std::min(rate * depth, tokens_);
    updated_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  std::int64_t updated_at_ = -1;  // -1 = never
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_TOKEN_BUCKET_H_
