// Parsers as parties of a scenario. Incremental parsers get the text byte by byte and in two pieces.
#include <functional>

#include "codec/frame.h"
#include "codec/http.h"
#include "codec/json.h"
#include "codec/statement.h"
#include "proxy/config.h"
#include "scenario.h"

namespace lemoncroft::scenario {
namespace {

std::string ParseJson(const std::string& text) {
  const codec::Json json = codec::Json::Parse(text);
  if (!json.Is(codec::Json::Kind::kObject)) return json.text;
  return json["a"].text + "|" + std::to_string(json["a"].items.size());
}

// The pieces in which a text arrives at a parser.
using Pieces = std::vector<std::string>;

std::string ParseHttp(const Pieces& pieces) {
  codec::HttpParser parser({256, 64});
  std::string buffer;
  auto state = codec::HttpParser::State::kNeedMore;
  for (const std::string& piece : pieces) {
    buffer += piece;
    if (state == codec::HttpParser::State::kNeedMore) state = parser.Feed(buffer);
  }
  if (state == codec::HttpParser::State::kNeedMore) state = parser.Finish();
  if (state == codec::HttpParser::State::kBad) return "bad";
  const codec::HttpResponse& r = parser.response();
  const std::string* x = r.Find("x-a");
  return std::to_string(r.status) + " " + r.body + " x-a=" + (x ? *x : "-") +
         (r.keep_alive ? " keep" : " close") + " left=" + buffer;
}

std::string ParseFrames(const Pieces& pieces) {
  using Result = codec::FrameReader::Result;
  codec::FrameReader reader;
  std::string buffer, out;
  for (const std::string& piece : pieces) {
    buffer += piece;
    codec::Frame frame;
    Result result = Result::kNeedMore;
    while ((result = reader.Next(buffer, frame)) == Result::kFrame) {
      out += std::to_string(frame.type) + ":" + std::to_string(frame.stream);
      if (const auto fields = codec::ReadFields(frame.payload)) {
        for (const auto& [name, value] : fields->fields)
          out.append(" ").append(name).append("=").append(value);
        out.append(" body=").append(fields->body);
      } else {
        out += " malformed";
      }
      out += ";";
    }
    reader.Compact(buffer);
    if (result == Result::kBadLength) return out + "bad length";
  }
  return out;
}

// Parses the text byte by byte and cut in two at each position. The results must not differ.
std::string ParseInPieces(std::string (*parse)(const Pieces&), const std::string& text) {
  Pieces bytes;
  for (const char c : text) bytes.emplace_back(1, c);
  std::string out = parse(bytes);
  for (std::size_t at = 0; at <= text.size(); ++at) {
    const std::string in_two = parse({text.substr(0, at), text.substr(at)});
    if (in_two != out) throw std::runtime_error("cut at byte " + std::to_string(at) + ": " + in_two);
  }
  return out;
}

std::string ParseSettings(const std::string& text) {
  const settings::Site site = settings::ParseSite(proxy::Flatten(codec::Json::Parse(text)));
  std::string out = std::to_string(site.module.gateway_count);
  for (std::size_t i = 0; i < site.classes.size(); ++i) {
    out += " " + site.classes[i] + ":" + std::to_string(site.module.classes[i].threads);
  }
  for (const std::string& kind : site.kinds) out += " " + kind;
  return out;
}

const std::map<std::string, std::function<std::string(const std::string&)>> kParsers = {
    {"json", ParseJson},
    {"http", [](const std::string& text) { return ParseInPieces(ParseHttp, text); }},
    {"frames", [](const std::string& text) { return ParseInPieces(ParseFrames, text); }},
    {"settings", ParseSettings},
    {"statement", [](const std::string& text) { return std::to_string(codec::TableGroup(text)); }},
};

}  // namespace

bool IsParser(const std::string& party) { return kParsers.contains(party); }

std::string ParseWith(const std::string& party, const std::string& text) {
  try {
    return kParsers.at(party)(text);
  } catch (const std::exception& e) {
    return std::string("error: ") + e.what();
  }
}

}  // namespace lemoncroft::scenario
