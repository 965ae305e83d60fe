// The client side of HTTP/1.1: writes requests and parses responses incrementally.
//
// This file performs no I/O. An instance is not thread-safe; separate instances share no state.
#ifndef LEMONCROFT_CODEC_HTTP_H_
#define LEMONCROFT_CODEC_HTTP_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemoncroft::codec {

// A request. The texts that its views refer to must outlive it.
struct HttpRequest {
  std::string_view method;
  std::string path;
  std::vector<std::pair<std::string_view, std::string>> headers;  // in the order in which they are sent
  std::string_view body;
};

// Writes the request line, Host, the headers and, for a request with a body, a POST or a PUT, Content-Length.
// The caller sends the body unchanged after them. Returns nullopt if a header value contains a carriage
// return, a line feed or a zero byte, which would let a client inject headers.
std::optional<std::string> WriteHead(const HttpRequest& request, std::string_view host);

struct HttpResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keep_alive = true;
  // The end of the connection delimited the body. It looks the same if the sender exited while it wrote.
  bool ended_by_close = false;

  // Returns the value of the first header called `name`, or null. Names are compared case-insensitively.
  const std::string* Find(std::string_view name) const;
  // Returns the same header's value as a number, or nullopt if it is not a finite number.
  std::optional<double> Number(std::string_view name) const;
};

// Parses one response and skips interim responses (1xx) before it.
class HttpParser {
 public:
  // Limits in bytes. A response that exceeds one of them is bad.
  struct Limits {
    std::size_t head = 16 * 1024, body = 256 * 1024;
  };
  enum class State { kNeedMore, kDone, kBad };

  explicit HttpParser(Limits limits) : limits_(limits) {}

  // Parses bytes and removes them from the front of `buffer`. Bytes after a complete response stay in the
  // buffer. kBad is final.
  State Feed(std::string& buffer);
  // Must be called when the peer has closed the connection. Returns kDone if the response is complete or its
  // body is delimited by the close, otherwise kBad.
  State Finish();
  // The response is complete once the state is kDone; the caller may then move from it.
  HttpResponse& response() { return response_; }
  // Returns true once the head of a non-interim response has been parsed.
  bool head_parsed() const { return phase_ != Phase::kHead; }

 private:
  // The part of the response that is expected next.
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

  // Each step parses bytes and removes them from the front of `rest`.
  StepResult Step(std::string_view& rest);
  StepResult StepHead(std::string_view& rest);
  StepResult StepChunkSize(std::string_view& rest);
  StepResult StepChunkEnd(std::string_view& rest);
  StepResult StepTrailer(std::string_view& rest);
  StepResult StepBody(std::string_view& rest);

  // Removes a line from `rest` and returns it without its line end, or returns nullopt if the line is
  // incomplete. A line of more than `max_bytes` makes the response bad.
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
  std::size_t remaining_ = 0;  // unread bytes of the sized body or of the current chunk
  HttpResponse response_;
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_HTTP_H_
