// HTTP/1.1 as a client speaks it: requests written, responses parsed as their bytes come in.
#ifndef LEMONCROFT_CODEC_HTTP_H_
#define LEMONCROFT_CODEC_HTTP_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemoncroft::codec {

struct HttpRequest {
  std::string_view method;
  std::string path;
  std::vector<std::pair<std::string_view, std::string>> headers;
  std::string_view body;
};
// Request line, Host, the headers in order and Content-Length; the body follows it on the wire unchanged.
// Nothing where a header's value holds a line end, which would let a client write headers of its own.
std::optional<std::string> WriteHead(const HttpRequest& request, std::string_view host);

struct HttpResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keep_alive = true;
  const std::string* Find(std::string_view name) const;  // names are compared without case
  std::optional<double> Number(std::string_view name) const;
};

class HttpParser {
 public:
  struct Limits {
    std::size_t head = 16 * 1024, body = 256 * 1024;
  };
  enum class State { kNeedMore, kDone, kBad };

  explicit HttpParser(Limits limits) : limits_(limits) {}
  // Takes what it can off the front of `buffer`. Bytes after a whole response stay there. kBad is final.
  State Feed(std::string& buffer);
  // The peer has closed: whole if the body was to last until then.
  State Finish();
  HttpResponse& response() { return response_; }
  bool begun() const { return part_ != Part::kHead; }  // past the head of an answer that is no interim one

 private:
  enum class Part { kHead, kSized, kChunkSize, kChunk, kChunkEnd, kTrailer, kUntilClose, kDone, kBad };

  bool TakeLine(std::string_view& rest, std::string_view& line, std::size_t most);
  void Head(std::string_view head);
  void Field(std::string_view line);
  void BodyFollows();
  bool Step(std::string_view& rest);  // false: needs more

  Limits limits_;
  Part part_ = Part::kHead;
  std::size_t left_ = 0;  // of the body or chunk
  HttpResponse response_;
};

}  // namespace lemoncroft::codec

#endif  // LEMONCROFT_CODEC_HTTP_H_
