// Codec of the simulator's protocol. Translates batches of big-endian records to and from the decision
// module's interface.
//
// Does no I/O. The simulator sends batches of events for many instances of the module, and gets one reply of
// actions for each batch. Invalid input throws WireError.
#ifndef LEMONCROFT_SIMULATOR_ADAPTER_WIRE_H_
#define LEMONCROFT_SIMULATOR_ADAPTER_WIRE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "lemoncroft/gateway.h"

namespace lemoncroft::simulator_adapter {

inline constexpr std::size_t kBatchHeaderBytes = 16;
inline constexpr std::size_t kMaxBatchBytes = std::size_t{1} << 30;
inline constexpr std::size_t kMaxPages = 16;

// An invalid batch or settings text, or a failed read or write. Errors of a field or record end in "at byte
// N", counted from the start of the header, of the body or, in a page, of its entries.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct BatchHeader {
  std::size_t length = 0;   // bytes after the header
  std::size_t records = 0;  // number of records in these bytes
  Nanos now = 0;
};
// Decodes the first kBatchHeaderBytes of a batch. Throws WireError.
BatchHeader DecodeHeader(std::string_view header);

// The records of a batch for one instance, in this order: a stop, a start, events; each is optional. An
// instance that stops and starts again within a batch has two InstanceBatch objects.
struct InstanceBatch {
  std::uint16_t instance = 0;
  bool stopped = false;  // the instance was killed before the events below
  bool started = false;
  std::uint64_t seed = 0;  // if started
  Settings settings;       // if started
  std::vector<Event> events;
};

// An engine list that is sent once for several instances.
using Page = std::shared_ptr<const std::vector<EngineEntry>>;
using Pages = std::array<Page, kMaxPages>;

class Decoder {
 public:
  // Decodes the records after the header, in order. Throws WireError.
  std::vector<InstanceBatch> Decode(const BatchHeader& header, std::string_view body);

 private:
  Pages pages_;  // pages of the process, which outlive batches and instances
};

// Parses the path=value lines of a start record. Throws WireError for a value that cannot be parsed.
Settings ParseSettings(std::string_view text);

// Encodes the actions of a batch's instances as one reply.
class ReplyWriter {
 public:
  // Begins a new reply.
  void Clear();
  void Add(std::uint16_t instance, const std::vector<Action>& actions);
  // Returns the complete reply, header included; valid until the next call.
  const std::string& Finish();

 private:
  static constexpr std::size_t kReplyHeaderBytes = 8;

  std::string bytes_ = std::string(kReplyHeaderBytes, '\0');
  std::uint32_t records_ = 0;
};

}  // namespace lemoncroft::simulator_adapter

#endif  // LEMONCROFT_SIMULATOR_ADAPTER_WIRE_H_
