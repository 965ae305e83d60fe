#include "scenario_step.h"

#include <stdexcept>

namespace lemoncroft::scenario {

void Fail(const std::string& message) { throw std::runtime_error(message); }

Words Split(const std::string& line) {
  Words out;
  bool quoted = false, has_word = false, literal = false;
  std::string word;
  const auto end_word = [&] {
    if (has_word) out.push_back(word);
    word.clear();
    has_word = false;
  };
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char c = line[i];
    if (c == '\'' && !quoted) {
      literal = !literal;
      has_word = true;
    } else if (literal) {
      word.push_back(c);
    } else if (c == '"') {
      quoted = !quoted;
      has_word = true;
    } else if (c == '\\' && i + 1 < line.size()) {
      const char e = line[++i];
      if (e == 'x') {
        word.push_back(static_cast<char>(std::stoi(line.substr(i + 1, 2), nullptr, 16)));
        i += 2;
      } else {
        word.push_back(e == 'n' ? '\n' : e == 't' ? '\t' : e == 'r' ? '\r' : e);
      }
      has_word = true;
    } else if (c == ' ' && !quoted) {
      end_word();
    } else if (c == '#' && !quoted && !has_word) {
      break;
    } else {
      word.push_back(c);
      has_word = true;
    }
  }
  end_word();
  return out;
}

NamedArguments::NamedArguments(const Words& words, std::size_t from) {
  for (std::size_t i = from; i < words.size(); ++i) {
    const std::size_t equals = words[i].find('=');
    if (equals == std::string::npos) Fail("expected NAME=VALUE, got: " + words[i]);
    const std::string name = words[i].substr(0, equals);
    const std::string value = words[i].substr(equals + 1);
    if (name == "body")
      body = value;
    else
      values.emplace_back(name, value);
  }
}

std::chrono::milliseconds NamedArguments::Timeout(std::chrono::milliseconds default_timeout) const {
  std::chrono::milliseconds timeout = default_timeout;
  for (const auto& [name, value] : values) {
    if (name == "within") timeout = std::chrono::milliseconds(std::stoi(value));
  }
  return timeout;
}

void ExpectEqual(const std::string& what, const std::string& actual, const std::string& expected) {
  if (actual != expected) Fail(what + ": got '" + actual + "', expected '" + expected + "'");
}

}  // namespace lemoncroft::scenario
