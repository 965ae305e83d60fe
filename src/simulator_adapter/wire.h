// Codec of the bench's wire: frames of big-endian records to and from the gateway's interface.
#ifndef LEMONCROFT_BENCHLINK_WIRE_H_
#define LEMONCROFT_BENCHLINK_WIRE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::simulator_adapter {

inline constexpr std::size_t kBatchHeaderBytes = 16;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;

// What is wrong with a frame or a settings text, and where.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct BatchHeader {
  std::size_t length = 0;   // bytes after the header
  std::size_t records = 0;  // records in them
  Nanos now = 0;
};
BatchHeader DecodeHeader(std::string_view header);

// What a batch holds for one instance: perhaps a start, an end, then events. An instance that ends and starts
// again within a batch has two of these.
struct InstanceBatch {
  std::uint16_t instance = 0;
  bool stopped = false;  // the instance was killed before the events below
  bool started = false;
  std::uint64_t seed = 0;
  Settings settings;  // where started
  std::vector<Event> events;
};

class Decoder {
 public:
  // Decodes the records after the header, in order. Throws WireError.
  std::vector<InstanceBatch> Decode(const BatchHeader& header, std::string_view body);

 private:
  // Numbered lists are the process's own, not an instance's.
  std::array<std::shared_ptr<const std::vector<EngineEntry>>, 16> pages_;
};

// Reads the path=value lines of a start. Throws WireError for a value that cannot be read.
Settings ParseSettings(std::string_view text);

class ReplyWriter {
 public:
  void Clear();
  void Add(std::uint16_t instance, const std::vector<Action>& actions);
  // The whole reply, header included.
  const std::string& Finish();

 private:
  std::string bytes_ = std::string(8, '\0');
  std::uint32_t records_ = 0;
};

}  // namespace lemoncroft::simulator_adapter

#endif  // LEMONCROFT_BENCHLINK_WIRE_H_
