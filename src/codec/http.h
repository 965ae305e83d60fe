// The client's side of HTTP/1.1: writes requests, and parses responses incrementally.
//
// Without I/O. Thread safety: none; instances share nothing.
#ifndef LEMONCROFT_CODEC_HTTP_H_
#define LEMONCROFT_CODEC_HTTP_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemoncroft::codec {

// A request. Refers to texts that outlive it.
struct HttpRequest {
  std::string_view method;
  std::string path;
  std::vector<std::pair<std::string_view, std::string>> headers;  // in the order of the wire
  std::string_view body;
};

// Writes the request line, Host, the headers and Content-Length; the body follows on the wire unchanged.
// Returns nothing if the value of a header has a line end or a zero byte, which would let a client inject
// headers.
std::optional<std::string> WriteHead(const HttpRequest& request, std::string_view host);

struct HttpResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keep_alive = true;

  // The value of the first header of this name, or null. Names are compared case-insensitively.
  const std::string* Find(std::string_view name) const;
  // The same as a finite number; nothing if the value isn't one.
  std::optional<double> Number(std::string_view name) const;
};

// Parses one response. Interim responses (1xx) before it are skipped.
class HttpParser {
 public:
  // In bytes; a response that exceeds them is bad.
  struct Limits {
    std::size_t head = 16 * 1024, body = 256 * 1024;
  };
  enum class State { kNeedMore, kDone, kBad };

  explicit HttpParser(Limits limits) : limits_(limits) {}

  // Parses and removes bytes from the front of `buffer`. Bytes after a complete response stay there. kBad is
  // final.
  State Feed(std::string& buffer);
  // To be called when the peer has closed the connection: kDone if the body lasts until then, else kBad.
  State Finish();
  // Complete once the state is kDone; may be moved from then.
  HttpResponse& response() { return response_; }
  // True once the head of a response other than an interim one has been parsed.
  bool begun() const { return phase_ != Phase::kHead; }

 private:
  // What is expected next.
  enum class Phase {
    kHead,
    kSizedBody,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailer,
    kBodyUntilClose,
    kDone,
    kBad,
  };
  enum class StepResult { kProgress, kNeedMore };

  // Each step parses and removes bytes from the front of `rest`.
  StepResult Step(std::string_view& rest);
  StepResult StepHead(std::string_view& rest);
  StepResult StepChunkSize(std::string_view& rest);
  StepResult StepChunkEnd(std::string_view& rest);
  StepResult StepTrailer(std::string_view& rest);
  StepResult StepBody(std::string_view& rest);

  // Takes a line without its end; nothing if it is incomplete. A line of more than `max_bytes` is bad.
  std::optional<std::string_view> TakeLine(std::string_view& rest, std::size_t max_bytes);
  void ParseHead(std::string_view head);
  bool ParseStatusLine(std::string_view line);
  void ParseHeader(std::string_view line);
  // Determines from the headers how the body is delimited.
  void ChooseBodyPhase();
  bool ExceedsBodyLimit(std::size_t more_bytes) const {
    return more_bytes > limits_.body - response_.body.size();
  }

  Limits limits_;
  Phase phase_ = Phase::kHead;
  std::size_t remaining_ = 0;  // bytes of the sized body or of the chunk
  HttpResponse response_;
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_HTTP_H_
