// Compares the output of encoders with golden bytes: fixtures under tests/fixtures/wire with one "name hex"
// pair a line.
#ifndef LEMONCROFT_TESTS_GOLDEN_H_
#define LEMONCROFT_TESTS_GOLDEN_H_

#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemoncroft::golden {

inline std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char c : bytes) {
    const auto value = static_cast<unsigned char>(c);
    hex.push_back(kDigits[value >> 4]);
    hex.push_back(kDigits[value & 0xf]);
  }
  return hex;
}

inline std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t offset = 0; offset + 1 < hex.size(); offset += 2)
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(offset, 2)), nullptr, 16)));
  return bytes;
}

inline std::map<std::string, std::string> ReadFixture(const std::string& file) {
  std::ifstream in(std::string(LEMONCROFT_FIXTURES) + "/wire/" + file);
  std::map<std::string, std::string> hex_by_name;
  for (std::string name, hex; in >> name >> hex;) hex_by_name[name] = hex;
  return hex_by_name;
}

struct Case {
  std::string name;
  std::string encoded;
  // Decodes bytes and encodes the result, or returns "undecodable". Empty if the bytes have no decoder.
  std::function<std::string(std::string_view)> reencode;
};

// Expects one line of the fixture for each case, and the same bytes from encoding and from decoding and
// re-encoding.
inline void ExpectGolden(const std::string& file, const std::vector<Case>& cases) {
  const auto golden = ReadFixture(file);
  EXPECT_EQ(golden.size(), cases.size()) << file;
  for (const Case& test_case : cases) {
    const auto found = golden.find(test_case.name);
    if (found == golden.end()) {
      ADD_FAILURE() << "missing in " << file << ":\n" << test_case.name << " " << ToHex(test_case.encoded);
      continue;
    }
    EXPECT_EQ(ToHex(test_case.encoded), found->second) << test_case.name << " encoded";
    if (!test_case.reencode) continue;
    EXPECT_EQ(ToHex(test_case.reencode(FromHex(found->second))), found->second)
        << test_case.name << " decoded";
  }
}

}  // namespace lemoncroft::golden

#endif  // LEMONCROFT_TESTS_GOLDEN_H_
