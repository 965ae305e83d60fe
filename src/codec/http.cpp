#include "codec/http.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lemoncroft::codec {
namespace {

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t' || s.back() == '\r')) s.remove_suffix(1);
  return s;
}

template <typename T>
bool ReadWhole(std::string_view text, T& value, int base) {
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
    out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  out.append("\r\n");
  return out;
}

const std::string* HttpResponse::Find(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (SameName(field, name)) return &value;
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
  while (part_ != Part::kDone && part_ != Part::kBad && Step(rest)) {
  }
  buffer.erase(0, buffer.size() - rest.size());
  if (part_ == Part::kBad) return State::kBad;
  return part_ == Part::kDone ? State::kDone : State::kNeedMore;
}

HttpParser::State HttpParser::Finish() {
  if (part_ == Part::kUntilClose) part_ = Part::kDone;
  return part_ == Part::kDone ? State::kDone : State::kBad;
}

// A line without its end; false where it has not come whole. Too long a one is bad.
bool HttpParser::TakeLine(std::string_view& rest, std::string_view& line, std::size_t most) {
  const std::size_t end = rest.find('\n');
  if (std::min(end, rest.size()) > most) part_ = Part::kBad;
  if (end == std::string_view::npos || part_ == Part::kBad) return false;
  line = Trim(rest.substr(0, end));
  rest.remove_prefix(end + 1);
  return true;
}

bool HttpParser::Step(std::string_view& rest) {
  std::string_view line;
  switch (part_) {
    case Part::kHead: {
      const std::size_t end = rest.find("\r\n\r\n");
      if (std::min(end, rest.size()) > limits_.head) part_ = Part::kBad;
      if (end == std::string_view::npos || part_ == Part::kBad) return false;
      Head(rest.substr(0, end));
      rest.remove_prefix(end + 4);
      return true;
    }
    case Part::kChunkSize: {
      if (!TakeLine(rest, line, 1024)) return false;
      line = Trim(line.substr(0, line.find(';')));
      if (!ReadWhole(line, left_, 16) || left_ > limits_.body - response_.body.size()) part_ = Part::kBad;
      if (part_ != Part::kBad) part_ = left_ == 0 ? Part::kTrailer : Part::kChunk;
      return true;
    }
    case Part::kChunkEnd:  // the line end behind a chunk's bytes
      if (!TakeLine(rest, line, 1024)) return false;
      part_ = line.empty() ? Part::kChunkSize : Part::kBad;
      return true;
    case Part::kTrailer:
      if (!TakeLine(rest, line, limits_.head)) return false;
      if (line.empty()) part_ = Part::kDone;
      return true;
    case Part::kSized:
    case Part::kChunk:
    case Part::kUntilClose: {
      if (rest.empty()) return false;
      const bool open = part_ == Part::kUntilClose;
      const std::size_t n = open ? rest.size() : std::min(left_, rest.size());
      if (n > limits_.body - response_.body.size()) part_ = Part::kBad;
      if (part_ == Part::kBad) return false;
      response_.body.append(rest.substr(0, n));
      rest.remove_prefix(n);
      if (open || (left_ -= n) > 0) return true;
      part_ = part_ == Part::kSized ? Part::kDone : Part::kChunkEnd;
      return true;
    }
    case Part::kDone:
    case Part::kBad:
      break;
  }
  return false;
}

void HttpParser::Head(std::string_view head) {
  const std::size_t first = std::min(head.find("\r\n"), head.size());
  const std::string_view line = head.substr(0, first);
  // HTTP/1.x, a blank, three digits.
  const bool formed = line.size() >= 12 && line.substr(0, 7) == "HTTP/1." && line[8] == ' ';
  if (!formed || !ReadWhole(line.substr(9, 3), response_.status, 10)) {
    part_ = Part::kBad;
    return;
  }
  response_.keep_alive = line[7] != '0';
  head.remove_prefix(std::min(head.size(), first + 2));
  while (!head.empty()) {
    const std::size_t end = std::min(head.find("\r\n"), head.size());
    Field(head.substr(0, end));
    head.remove_prefix(std::min(head.size(), end + 2));
  }
  if (part_ == Part::kHead) BodyFollows();
}

void HttpParser::Field(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    part_ = Part::kBad;
    return;
  }
  response_.headers.emplace_back(Trim(line.substr(0, colon)), Trim(line.substr(colon + 1)));
  const auto& [name, value] = response_.headers.back();
  // Two lengths: where the answer ends can't be told.
  if (SameName(name, "Content-Length") && *response_.Find(name) != value) part_ = Part::kBad;
  if (SameName(name, "Connection") && SameName(value, "close")) response_.keep_alive = false;
}

void HttpParser::BodyFollows() {
  const std::string* sized = response_.Find("Content-Length");
  const std::string* coded = response_.Find("Transfer-Encoding");
  if (response_.status / 100 == 1) {  // an interim answer: the real one follows
    response_ = HttpResponse();
  } else if (response_.status == 204 || response_.status == 304) {
    part_ = Part::kDone;
  } else if (coded != nullptr) {
    part_ = SameName(*coded, "chunked") ? Part::kChunkSize : Part::kBad;
  } else if (sized != nullptr) {
    const bool good = ReadWhole(std::string_view(*sized), left_, 10) && left_ <= limits_.body;
    part_ = !good ? Part::kBad : left_ == 0 ? Part::kDone : Part::kSized;
  } else {
    response_.keep_alive = false;
    part_ = Part::kUntilClose;
  }
}

}  // namespace lemoncroft::codec
