#include "codec/json.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace lemoncroft::codec {
namespace {

constexpr int kDeepest = 64;

class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {}

  Json Whole() {
    Json value = Value(0);
    Blank();
    if (at_ != text_.size()) Bad("bytes after the value");
    return value;
  }

 private:
  [[noreturn]] void Bad(const char* what) const {
    throw JsonError(std::string("JSON: ") + what + " at byte " + std::to_string(at_));
  }

  char Peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }

  void Blank() {
    while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }

  bool Take(char c) {
    Blank();
    if (Peek() != c) return false;
    ++at_;
    return true;
  }

  Json Value(int depth) {
    if (depth > kDeepest) Bad("nested too deeply");
    Json out;
    Blank();
    const char c = Peek();
    if (c == '{') {
      Object(out, depth);
    } else if (c == '[') {
      Array(out, depth);
    } else if (c == '"') {
      out.kind = Json::Kind::kText;
      out.text = Text();
    } else if (c == '-' || (c >= '0' && c <= '9')) {
      Number(out);
    } else {
      Word(out);
    }
    return out;
  }

  void Object(Json& out, int depth) {
    out.kind = Json::Kind::kObject;
    ++at_;
    if (Take('}')) return;
    do {
      Blank();
      if (Peek() != '"') Bad("a member's name expected");
      out.names.push_back(Text());
      if (!Take(':')) Bad("':' expected");
      out.items.push_back(Value(depth + 1));
    } while (Take(','));
    if (!Take('}')) Bad("'}' expected");
  }

  void Array(Json& out, int depth) {
    out.kind = Json::Kind::kArray;
    ++at_;
    if (Take(']')) return;
    do {
      out.items.push_back(Value(depth + 1));
    } while (Take(','));
    if (!Take(']')) Bad("']' expected");
  }

  void Number(Json& out) {
    const std::size_t from = at_;
    while (at_ < text_.size() &&
           std::string_view("+-.eE0123456789").find(text_[at_]) != std::string_view::npos) {
      ++at_;
    }
    out.kind = Json::Kind::kNumber;
    out.text = text_.substr(from, at_ - from);
    double value = 0;
    auto [end, error] = std::from_chars(out.text.data(), out.text.data() + out.text.size(), value);
    if (error != std::errc() || end != out.text.data() + out.text.size()) Bad("not a number");
  }

  void Word(Json& out) {
    for (const std::string_view word : {"true", "false", "null"}) {
      if (text_.substr(at_, word.size()) != word) continue;
      at_ += word.size();
      out.kind = word == "null" ? Json::Kind::kNull : Json::Kind::kBool;
      if (word != "null") out.text = word;
      return;
    }
    Bad("a value expected");
  }

  unsigned Hex4() {
    unsigned value = 0;
    const std::string_view digits = text_.substr(at_, 4);
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 4 || error != std::errc() || end != digits.data() + 4) Bad("not four hex digits");
    at_ += 4;
    return value;
  }

  static void PutUtf8(std::string& out, unsigned code) {
    if (code < 0x80) {
      out.push_back(static_cast<char>(code));
      return;
    }
    const int more = code < 0x800 ? 1 : code < 0x10000 ? 2 : 3;
    constexpr unsigned kLead[] = {0, 0xc0, 0xe0, 0xf0};
    out.push_back(static_cast<char>(kLead[more] | (code >> (6 * more))));
    for (int i = more - 1; i >= 0; --i) out.push_back(static_cast<char>(0x80 | ((code >> (6 * i)) & 0x3f)));
  }

  void Escape(std::string& out) {
    const char c = Peek();
    ++at_;
    constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
    if (const std::size_t i = kFrom.find(c); c != '\0' && i != std::string_view::npos) {
      out.push_back(kTo[i]);
      return;
    }
    if (c != 'u') Bad("unknown escape");
    unsigned code = Hex4();
    const bool high = code >= 0xd800 && code < 0xdc00;
    if (high && text_.substr(at_, 2) == "\\u") {
      at_ += 2;
      const unsigned low = Hex4();
      if (low < 0xdc00 || low > 0xdfff) Bad("half a surrogate pair");
      code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
    } else if (code >= 0xd800 && code < 0xe000) {
      Bad("half a surrogate pair");
    }
    PutUtf8(out, code);
  }

  std::string Text() {
    std::string out;
    for (++at_; Peek() != '"';) {
      if (at_ >= text_.size()) Bad("text without an end");
      if (static_cast<unsigned char>(Peek()) < 0x20) Bad("control character in a text");
      if (Peek() == '\\') {
        ++at_;
        Escape(out);
      } else {
        out.push_back(text_[at_++]);
      }
    }
    ++at_;
    return out;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

Json Json::Parse(std::string_view text) { return Parser(text).Whole(); }

const Json& Json::operator[](std::string_view name) const {
  static const Json kAbsent;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return items[i];
  }
  return kAbsent;
}

Json Json::Take(std::string_view name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return std::exchange(items[i], Json());
  }
  return {};
}

double Json::Number(double absent) const {
  double value = absent;
  if (kind == Kind::kNumber) std::from_chars(text.data(), text.data() + text.size(), value);
  return std::isfinite(value) ? value : absent;
}

std::int64_t Json::Integer(std::int64_t absent) const {
  const double value = Number(static_cast<double>(absent));
  return value > -9e15 && value < 9e15 ? static_cast<std::int64_t>(value) : absent;
}

}  // namespace lemoncroft::codec
