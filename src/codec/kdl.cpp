#include "codec/kdl.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace lemoncroft::codec {

namespace {

constexpr char32_t kEnd = 0xffffffff;

bool IsNewline(char32_t c) {
  return c == '\r' || c == '\n' || c == 0x85 || c == 0x0b || c == 0x0c || c == 0x2028 || c == 0x2029;
}

bool IsSpace(char32_t c) {
  return c == ' ' || c == '\t' || c == 0xa0 || c == 0x1680 || (c >= 0x2000 && c <= 0x200a) || c == 0x202f ||
         c == 0x205f || c == 0x3000;
}

// Code points that may stand nowhere in a document: controls, directions of writing, a second byte order
// mark.
bool IsBarred(char32_t c) {
  return c <= 0x08 || (c >= 0x0e && c <= 0x1f) || c == 0x7f || (c >= 0xd800 && c <= 0xdfff) ||
         (c >= 0x200e && c <= 0x200f) || (c >= 0x202a && c <= 0x202e) || (c >= 0x2066 && c <= 0x2069) ||
         c == 0xfeff;
}

bool IsBare(char32_t c) {
  if (c == kEnd || IsNewline(c) || IsSpace(c)) return false;
  return c > 0x7f || std::string_view("\\/(){}[];\"#=").find(static_cast<char>(c)) == std::string_view::npos;
}

bool IsDigit(char32_t c) { return c >= '0' && c <= '9'; }

void Append(std::string& out, char32_t c) {
  if (c < 0x80) {
    out += static_cast<char>(c);
  } else if (c < 0x800) {
    out += static_cast<char>(0xc0 | (c >> 6));
    out += static_cast<char>(0x80 | (c & 0x3f));
  } else if (c < 0x10000) {
    out += static_cast<char>(0xe0 | (c >> 12));
    out += static_cast<char>(0x80 | ((c >> 6) & 0x3f));
    out += static_cast<char>(0x80 | (c & 0x3f));
  } else {
    out += static_cast<char>(0xf0 | (c >> 18));
    out += static_cast<char>(0x80 | ((c >> 12) & 0x3f));
    out += static_cast<char>(0x80 | ((c >> 6) & 0x3f));
    out += static_cast<char>(0x80 | (c & 0x3f));
  }
}

// The document as code points, each with its place.
class Input {
 public:
  explicit Input(std::string_view text) {
    if (text.size() > kMaxKdlBytes) throw KdlError(KdlPosition(), "the document is too large");
    points_.reserve(text.size());
    KdlPosition place;
    for (std::size_t i = 0; i < text.size();) {
      const char32_t c = Decode(text, i, place);
      if (c == 0xfeff && points_.empty() && i == 3) continue;  // a byte order mark
      if (IsBarred(c)) throw KdlError(place, "a character that may not stand in a document");
      points_.push_back({c, place});
      const bool pair = c == '\r' && i < text.size() && text[i] == '\n';
      if (IsNewline(c) && !pair)
        ++place.line, place.column = 1;
      else
        ++place.column;
    }
    end_ = place;
  }

  char32_t Peek(std::size_t ahead = 0) const {
    return at_ + ahead < points_.size() ? points_[at_ + ahead].first : kEnd;
  }
  char32_t Next() {
    const char32_t c = Peek();
    at_ += c != kEnd;
    return c;
  }
  bool Skip(std::u32string_view text) {
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (Peek(i) != text[i]) return false;
    }
    at_ += text.size();
    return true;
  }
  bool SkipNewline() {
    if (!IsNewline(Peek())) return false;
    if (Next() == '\r' && Peek() == '\n') Next();
    return true;
  }
  KdlPosition place() const { return at_ < points_.size() ? points_[at_].second : end_; }
  [[noreturn]] void Fail(const std::string& what) const { throw KdlError(place(), what); }

 private:
  static char32_t Decode(std::string_view text, std::size_t& i, KdlPosition place) {
    const auto byte = [&](std::size_t n) { return static_cast<unsigned char>(text[n]); };
    const unsigned char first = byte(i);
    const int more = first < 0x80       ? 0
                     : first >> 5 == 6  ? 1
                     : first >> 4 == 14 ? 2
                     : first >> 3 == 30 ? 3
                                        : -1;
    if (more < 0 || i + static_cast<std::size_t>(more) >= text.size()) throw KdlError(place, "not UTF-8");
    char32_t c = more == 0 ? first : first & (0x3f >> more);
    for (int n = 1; n <= more; ++n) {
      const unsigned char next = byte(i + static_cast<std::size_t>(n));
      if (next >> 6 != 2) throw KdlError(place, "not UTF-8");
      c = (c << 6) | (next & 0x3f);
    }
    constexpr char32_t kLeast[] = {0, 0x80, 0x800, 0x10000};
    if (c < kLeast[more] || c > 0x10ffff) throw KdlError(place, "not UTF-8");
    i += static_cast<std::size_t>(more) + 1;
    return c;
  }

  std::vector<std::pair<char32_t, KdlPosition>> points_;
  std::size_t at_ = 0;
  KdlPosition end_;
};

class Reader {
 public:
  explicit Reader(std::string_view text) : in_(text) {}

  std::vector<KdlNode> Document() {
    std::vector<KdlNode> nodes = Nodes(0);
    if (in_.Peek() != kEnd) in_.Fail("a '}' that closes nothing");
    return nodes;
  }

 private:
  std::vector<KdlNode> Nodes(int depth) {
    if (depth > kMaxKdlDepth) in_.Fail("nested too deeply");
    std::vector<KdlNode> nodes;
    for (;;) {
      while (SkipBlank() || in_.SkipNewline() || in_.Skip(U";")) {
      }
      if (in_.Peek() == kEnd || in_.Peek() == '}') return nodes;
      const bool dropped = Slashdash();
      KdlNode node = Node(depth);
      if (!dropped) nodes.push_back(std::move(node));
    }
  }

  KdlNode Node(int depth) {
    if (++count_ > kMaxKdlNodes) in_.Fail("too many nodes");
    KdlNode node;
    node.place = in_.place();
    node.type = Annotation();
    node.name = Text("a node's name");
    bool block = false;
    for (;;) {
      const bool space = SkipBlank();
      const char32_t c = in_.Peek();
      if (c == kEnd || c == '}' || in_.Skip(U";") || in_.SkipNewline()) return node;
      const bool dropped = Slashdash();
      if (in_.Peek() == '{') {
        in_.Next();
        std::vector<KdlNode> children = Nodes(depth + 1);
        if (!in_.Skip(U"}")) in_.Fail("a '{' that is not closed");
        if (dropped) continue;
        if (block) in_.Fail("a second block of children");
        block = true;
        node.children = std::move(children);
        continue;
      }
      if (block) in_.Fail("a value behind the children");
      if (!space) in_.Fail("no space before this");
      Entry(node, dropped);
    }
  }

  // An argument, or a property.
  void Entry(KdlNode& node, bool dropped) {
    const KdlPosition place = in_.place();
    KdlValue value = Value();
    if (value.kind == KdlValue::Kind::kText && value.type.empty() && PropertyFollows()) {
      std::string name = std::move(value.text);
      value = Value();
      if (dropped) return;
      std::erase_if(node.properties, [&name](const auto& p) { return p.first == name; });
      node.properties.emplace_back(std::move(name), std::move(value));
      return;
    }
    value.place = place;
    if (!dropped) node.arguments.push_back(std::move(value));
  }

  bool PropertyFollows() {
    std::size_t ahead = 0;
    while (IsSpace(in_.Peek(ahead))) ++ahead;
    if (in_.Peek(ahead) != '=') return false;
    SkipBlank();
    in_.Next();
    SkipBlank();
    return true;
  }

  KdlValue Value() {
    KdlValue value;
    value.place = in_.place();
    value.type = Annotation();
    const char32_t c = in_.Peek();
    const char32_t digit = c == '+' || c == '-' ? in_.Peek(1) : c;
    if (c == '#' && in_.Peek(1) != '"' && in_.Peek(1) != '#') {
      Keyword(value);
    } else if (IsDigit(digit)) {
      Number(value);
    } else {
      value.kind = KdlValue::Kind::kText;
      value.text = Text("a value");
    }
    return value;
  }

  void Keyword(KdlValue& value) {
    in_.Next();
    const std::string word = Word();
    const double inf = std::numeric_limits<double>::infinity();
    if (word == "true" || word == "false") {
      value.kind = KdlValue::Kind::kBool;
      value.boolean = word == "true";
    } else if (word == "inf" || word == "-inf" || word == "nan") {
      value.kind = KdlValue::Kind::kNumber;
      value.text = "#" + word;
      value.number = word == "nan" ? std::numeric_limits<double>::quiet_NaN() : word == "inf" ? inf : -inf;
    } else if (word != "null") {
      throw KdlError(value.place, "#" + word + " is no keyword");
    }
  }

  void Number(KdlValue& value) {
    value.kind = KdlValue::Kind::kNumber;
    value.text = Word();
    std::string plain;
    for (std::size_t i = 0; i < value.text.size(); ++i) {
      if (value.text[i] == '_' && i > 0 && std::isalnum(static_cast<unsigned char>(value.text[i - 1])))
        continue;
      plain += value.text[i];
    }
    std::string_view digits = plain;
    const bool minus = digits.front() == '-';
    if (minus || digits.front() == '+') digits.remove_prefix(1);
    const std::string_view prefix = digits.substr(0, 2);
    const int base = prefix == "0x" ? 16 : prefix == "0o" ? 8 : prefix == "0b" ? 2 : 10;
    const char* end = digits.data() + digits.size();
    bool whole = false;
    if (base != 10) {
      digits.remove_prefix(2);
      unsigned long long number = 0;
      const auto read = std::from_chars(digits.data(), end, number, base);
      whole = !digits.empty() && read.ec == std::errc() && read.ptr == end;
      value.number = static_cast<double>(number);
    } else {
      const auto read = std::from_chars(digits.data(), end, value.number);
      const std::size_t dot = digits.find('.');
      const bool dotted =
          dot == std::string_view::npos || (dot + 1 < digits.size() && IsDigit(digits[dot + 1]));
      whole = read.ec == std::errc() && read.ptr == end && dotted;
    }
    if (!whole) throw KdlError(value.place, "'" + value.text + "' is no number");
    if (minus) value.number = -value.number;
  }

  // Bare characters as they stand; may be empty.
  std::string Word() {
    std::string word;
    while (IsBare(in_.Peek())) Append(word, in_.Next());
    return word;
  }

  std::string Text(const char* what) {
    const KdlPosition place = in_.place();
    std::size_t hashes = 0;
    while (in_.Peek(hashes) == '#') ++hashes;
    if (in_.Peek(hashes) == '"') {
      for (std::size_t i = 0; i < hashes; ++i) in_.Next();
      return Quoted(hashes);
    }
    std::string word = hashes > 0 ? std::string() : Word();
    if (word.empty()) in_.Fail(std::string("expected ") + what);
    std::string_view start = word;
    if (start.front() == '+' || start.front() == '-') start.remove_prefix(1);
    if (start.size() > 1 && start.front() == '.') start.remove_prefix(1);
    if (!start.empty() && IsDigit(static_cast<unsigned char>(start.front())))
      throw KdlError(place, "'" + word + "' looks like a number: put it in quotes");
    for (const char* keyword : {"true", "false", "null", "inf", "-inf", "nan"}) {
      if (word == keyword) throw KdlError(place, word + " is written #" + word + ", or in quotes");
    }
    return word;
  }

  std::string Quoted(std::size_t hashes) {
    const KdlPosition place = in_.place();
    if (in_.Peek(1) == '"' && in_.Peek(2) == '"') {
      in_.Skip(U"\"\"\"");
      if (!in_.SkipNewline()) in_.Fail("a multi-line string begins on the line after its quotes");
      return Lines(hashes, place);
    }
    in_.Next();
    std::string out;
    for (;;) {
      if (Closes(1, hashes)) return out;
      const char32_t c = in_.Peek();
      if (c == kEnd || IsNewline(c)) throw KdlError(place, "a string that does not end on its line");
      if (c == '\\' && hashes == 0)
        Escape(out);
      else
        Append(out, in_.Next());
    }
  }

  bool Closes(std::size_t quotes, std::size_t hashes) {
    for (std::size_t i = 0; i < quotes + hashes; ++i) {
      if (in_.Peek(i) != (i < quotes ? U'"' : U'#')) return false;
    }
    for (std::size_t i = 0; i < quotes + hashes; ++i) in_.Next();
    return true;
  }

  // The white space before the closing quotes stands before each line and is taken away.
  std::string Lines(std::size_t hashes, KdlPosition place) {
    std::vector<std::string> lines(1);
    std::vector<bool> blank(1, true);  // by line: only white space that was written as it is
    while (!Closes(3, hashes)) {
      const char32_t c = in_.Peek();
      if (c == kEnd) throw KdlError(place, "a multi-line string that does not end");
      if (in_.SkipNewline()) {
        lines.emplace_back();
        blank.push_back(true);
      } else if (c == '\\' && hashes == 0) {
        const std::size_t before = lines.back().size();
        Escape(lines.back());
        if (lines.back().size() > before) blank.back() = false;
      } else {
        if (!IsSpace(c)) blank.back() = false;
        Append(lines.back(), in_.Next());
      }
    }
    if (!blank.back()) throw KdlError(place, "the closing quotes stand on a line of their own");
    const std::string prefix = lines.back();
    std::string out;
    for (std::size_t i = 0; i + 1 < lines.size(); ++i) {
      if (i > 0) out += '\n';
      if (blank[i]) continue;
      if (lines[i].rfind(prefix, 0) != 0)
        throw KdlError(place, "a line is indented less than the closing quotes");
      out += lines[i].substr(prefix.size());
    }
    return out;
  }

  void Escape(std::string& out) {
    const KdlPosition place = in_.place();
    in_.Next();
    const char32_t c = in_.Peek();
    if (IsSpace(c) || IsNewline(c)) {
      while (IsSpace(in_.Peek()) || IsNewline(in_.Peek())) in_.Next();
      return;
    }
    in_.Next();
    constexpr std::string_view kFrom = "nrt\\\"bfs", kTo = "\n\r\t\\\"\b\f ";
    const std::size_t known = c < 0x80 ? kFrom.find(static_cast<char>(c)) : std::string_view::npos;
    if (known != std::string_view::npos) {
      out += kTo[known];
      return;
    }
    if (c != 'u' || !in_.Skip(U"{")) throw KdlError(place, "an escape that there is not");
    char32_t point = 0;
    int digits = 0;
    for (; digits < 7 && in_.Peek() != '}' && in_.Peek() < 0x80; ++digits) {
      const auto digit = static_cast<char>(in_.Next());
      int value = 0;
      if (std::from_chars(&digit, &digit + 1, value, 16).ec != std::errc()) digits = 7;
      point = point * 16 + static_cast<char32_t>(value);
    }
    const bool scalar = point <= 0x10ffff && (point < 0xd800 || point > 0xdfff);
    if (digits < 1 || digits > 6 || !scalar || !in_.Skip(U"}")) throw KdlError(place, "not a code point");
    Append(out, point);
  }

  std::string Annotation() {
    if (in_.Peek() != '(') return {};
    in_.Next();
    SkipBlank();
    std::string type = Text("a type");
    SkipBlank();
    if (!in_.Skip(U")")) in_.Fail("a '(' that is not closed");
    SkipBlank();
    return type;
  }

  bool Slashdash() {
    if (!in_.Skip(U"/-")) return false;
    while (SkipBlank() || in_.SkipNewline()) {
    }
    return true;
  }

  // White space, comments and continued lines; says whether there was any.
  bool SkipBlank() {
    bool any = false;
    for (;; any = true) {
      if (IsSpace(in_.Peek())) {
        in_.Next();
      } else if (in_.Skip(U"//")) {
        while (in_.Peek() != kEnd && !IsNewline(in_.Peek())) in_.Next();
      } else if (in_.Skip(U"/*")) {
        Comment();
      } else if (in_.Peek() == '\\') {
        in_.Next();
        while (IsSpace(in_.Peek()) || in_.Skip(U"/*")) {
          if (IsSpace(in_.Peek()))
            in_.Next();
          else
            Comment();
        }
        if (in_.Skip(U"//")) {
          while (in_.Peek() != kEnd && !IsNewline(in_.Peek())) in_.Next();
        }
        if (!in_.SkipNewline() && in_.Peek() != kEnd) in_.Fail("a '\\' that does not end its line");
      } else {
        return any;
      }
    }
  }

  void Comment() {
    const KdlPosition place = in_.place();
    for (int depth = 1; depth > 0;) {
      if (in_.Skip(U"/*"))
        ++depth;
      else if (in_.Skip(U"*/"))
        --depth;
      else if (in_.Next() == kEnd)
        throw KdlError(place, "a comment that does not end");
    }
  }

  Input in_;
  std::size_t count_ = 0;
};

}  // namespace

KdlError::KdlError(KdlPosition place, const std::string& what)
    : std::runtime_error("line " + std::to_string(place.line) + ", column " + std::to_string(place.column) +
                         ": " + what),
      position_(place) {}

std::vector<KdlNode> ReadKdl(std::string_view text) { return Reader(text).Document(); }

}  // namespace lemoncroft::codec
