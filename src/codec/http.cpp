#include "codec/http.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lemoncroft::codec {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kContentLength = "Content-Length";
constexpr std::size_t kMaxChunkLineBytes = 1024;
constexpr int kDecimalBase = 10, kHexBase = 16;
constexpr int kNoContent = 204, kNotModified = 304;  // statuses without a body

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

// Removes leading spaces and tabs, and trailing spaces, tabs and carriage returns.
std::string_view Trim(std::string_view text) {
  const auto is_leading = [](char c) { return c == ' ' || c == '\t'; };
  const auto is_trailing = [](char c) { return c == ' ' || c == '\t' || c == '\r'; };
  while (!text.empty() && is_leading(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_trailing(text.back())) text.remove_suffix(1);
  return text;
}

// Parses an integer that must span the whole text.
template <typename T>
bool ParseInteger(std::string_view text, T& value, int base) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::optional<std::string> WriteHead(const HttpRequest& request, std::string_view host) {
  std::string out;
  out.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\n");
  for (const auto& [name, value] : request.headers) {
    if (value.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos) return std::nullopt;
    out.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    out.append(kContentLength).append(": ").append(std::to_string(request.body.size())).append("\r\n");
  }
  out.append("\r\n");
  return out;
}

const std::string* HttpResponse::Find(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (EqualsIgnoringCase(field, name)) return &value;
  }
  return nullptr;
}

std::optional<double> HttpResponse::Number(std::string_view name) const {
  const std::string* text = Find(name);
  double value = 0;
  if (text == nullptr) return std::nullopt;
  auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc() || end != text->data() + text->size() || !std::isfinite(value))
    return std::nullopt;
  return value;
}

HttpParser::State HttpParser::Feed(std::string& buffer) {
  std::string_view rest = buffer;
  while (phase_ != Phase::kDone && phase_ != Phase::kBad && Step(rest) == StepResult::kProgress) {
  }
  buffer.erase(0, buffer.size() - rest.size());
  if (phase_ == Phase::kBad) return State::kBad;
  return phase_ == Phase::kDone ? State::kDone : State::kNeedMore;
}

HttpParser::State HttpParser::Finish() {
  if (phase_ == Phase::kBodyUntilClose) {
    response_.ended_by_close = true;
    phase_ = Phase::kDone;
  }
  return phase_ == Phase::kDone ? State::kDone : State::kBad;
}

std::optional<std::string_view> HttpParser::TakeLine(std::string_view& rest, std::size_t max_bytes) {
  const std::size_t end = rest.find('\n');
  if (std::min(end, rest.size()) > max_bytes) phase_ = Phase::kBad;
  if (end == std::string_view::npos || phase_ == Phase::kBad) return std::nullopt;
  const std::string_view line = Trim(rest.substr(0, end));
  rest.remove_prefix(end + 1);
  return line;
}

HttpParser::StepResult HttpParser::Step(std::string_view& rest) {
  switch (phase_) {
    case Phase::kHead:
      return StepHead(rest);
    case Phase::kChunkSize:
      return StepChunkSize(rest);
    case Phase::kChunkEnd:
      return StepChunkEnd(rest);
    case Phase::kTrailer:
      return StepTrailer(rest);
    case Phase::kSizedBody:
    case Phase::kChunk:
    case Phase::kBodyUntilClose:
      return StepBody(rest);
    case Phase::kDone:
    case Phase::kBad:
      break;
  }
  return StepResult::kNeedMore;
}

HttpParser::StepResult HttpParser::StepHead(std::string_view& rest) {
  const std::size_t end = rest.find(kHeadEnd);
  if (std::min(end, rest.size()) > limits_.head) phase_ = Phase::kBad;
  if (end == std::string_view::npos || phase_ == Phase::kBad) return StepResult::kNeedMore;
  ParseHead(rest.substr(0, end));
  rest.remove_prefix(end + kHeadEnd.size());
  return StepResult::kProgress;
}

HttpParser::StepResult HttpParser::StepChunkSize(std::string_view& rest) {
  const std::optional<std::string_view> line = TakeLine(rest, kMaxChunkLineBytes);
  if (!line) return StepResult::kNeedMore;
  const std::string_view size = Trim(line->substr(0, line->find(';')));  // without chunk extensions
  if (!ParseInteger(size, remaining_, kHexBase) || ExceedsBodyLimit(remaining_))
    phase_ = Phase::kBad;
  else
    phase_ = remaining_ == 0 ? Phase::kTrailer : Phase::kChunk;
  return StepResult::kProgress;
}

HttpParser::StepResult HttpParser::StepChunkEnd(std::string_view& rest) {
  const std::optional<std::string_view> line = TakeLine(rest, kMaxChunkLineBytes);
  if (!line) return StepResult::kNeedMore;
  phase_ = line->empty() ? Phase::kChunkSize : Phase::kBad;
  return StepResult::kProgress;
}

HttpParser::StepResult HttpParser::StepTrailer(std::string_view& rest) {
  const std::optional<std::string_view> line = TakeLine(rest, limits_.head);
  if (!line) return StepResult::kNeedMore;
  if (line->empty()) phase_ = Phase::kDone;
  return StepResult::kProgress;
}

HttpParser::StepResult HttpParser::StepBody(std::string_view& rest) {
  if (rest.empty()) return StepResult::kNeedMore;
  const bool until_close = phase_ == Phase::kBodyUntilClose;
  const std::size_t bytes = until_close ? rest.size() : std::min(remaining_, rest.size());
  if (ExceedsBodyLimit(bytes)) {
    phase_ = Phase::kBad;
    return StepResult::kNeedMore;
  }
  response_.body.append(rest.substr(0, bytes));
  rest.remove_prefix(bytes);
  if (until_close) return StepResult::kProgress;
  remaining_ -= bytes;
  if (remaining_ == 0) phase_ = phase_ == Phase::kSizedBody ? Phase::kDone : Phase::kChunkEnd;
  return StepResult::kProgress;
}

void HttpParser::ParseHead(std::string_view head) {
  const std::size_t line_end = std::min(head.find(kLineEnd), head.size());
  if (!ParseStatusLine(head.substr(0, line_end))) {
    phase_ = Phase::kBad;
    return;
  }
  head.remove_prefix(std::min(head.size(), line_end + kLineEnd.size()));
  while (!head.empty()) {
    const std::size_t end = std::min(head.find(kLineEnd), head.size());
    ParseHeader(head.substr(0, end));
    head.remove_prefix(std::min(head.size(), end + kLineEnd.size()));
  }
  if (phase_ == Phase::kHead) ChooseBodyPhase();
}

// A status line consists of "HTTP/1.x", a space, three digits and an optional reason phrase.
bool HttpParser::ParseStatusLine(std::string_view line) {
  const bool well_formed = line.size() >= 12 && line.substr(0, 7) == "HTTP/1." && line[8] == ' ';
  if (!well_formed || !ParseInteger(line.substr(9, 3), response_.status, kDecimalBase)) return false;
  response_.keep_alive = line[7] != '0';
  return true;
}

void HttpParser::ParseHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    phase_ = Phase::kBad;
    return;
  }
  response_.headers.emplace_back(Trim(line.substr(0, colon)), Trim(line.substr(colon + 1)));
  const auto& [name, value] = response_.headers.back();
  // Two different lengths leave the end of the response undefined.
  if (EqualsIgnoringCase(name, kContentLength) && *response_.Find(name) != value) phase_ = Phase::kBad;
  if (EqualsIgnoringCase(name, "Connection") && EqualsIgnoringCase(value, "close"))
    response_.keep_alive = false;
}

void HttpParser::ChooseBodyPhase() {
  const std::string* length = response_.Find(kContentLength);
  const std::string* encoding = response_.Find("Transfer-Encoding");
  if (response_.status / 100 == 1) {  // an interim response; another response follows
    response_ = HttpResponse();
  } else if (response_.status == kNoContent || response_.status == kNotModified) {
    phase_ = Phase::kDone;
  } else if (encoding != nullptr) {
    phase_ = EqualsIgnoringCase(*encoding, "chunked") ? Phase::kChunkSize : Phase::kBad;
  } else if (length != nullptr) {
    const bool usable = ParseInteger(*length, remaining_, kDecimalBase) && remaining_ <= limits_.body;
    phase_ = !usable ? Phase::kBad : remaining_ == 0 ? Phase::kDone : Phase::kSizedBody;
  } else {
    response_.keep_alive = false;
    phase_ = Phase::kBodyUntilClose;
  }
}

}  // namespace lemoncroft::codec
