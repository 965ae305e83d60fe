// A token bucket: so many tokens a second, at most `depth` seconds of them saved up; full at first.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. Owner: whoever limits. Errors: none.
#ifndef LEMONCROFT_LIMITS_TOKEN_BUCKET_H_
#define LEMONCROFT_LIMITS_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

namespace lemoncroft::limits {

class TokenBucket {
 public:
  // Takes one token, if one is there.
  bool Take(std::int64_t now, double rate, double depth) {
    tokens_ += at_ < 0 ? rate * depth : rate * (static_cast<double>(now - at_) / 1e9);
    tokens_ = std::min(rate * depth, tokens_);
    at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  std::int64_t at_ = -1;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_TOKEN_BUCKET_H_
