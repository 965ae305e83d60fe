#include "cli/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace lemoncroft::cli {

namespace {

// Writes the message as a JSON string, because ids from clients and error texts in it may contain any
// character.
class QuotedMessage : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&, spdlog::memory_buf_t& out) override {
    const std::string text(message.payload.begin(), message.payload.end());
    const std::string quoted =
        nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    out.append(quoted.data(), quoted.data() + quoted.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<QuotedMessage>(); }
};

}  // namespace

void SetUpLog(const std::string& level, LogFormat format) {
  if (format == LogFormat::kJson) {
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<QuotedMessage>('Q').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","message":%Q})");
    spdlog::set_formatter(std::move(formatter));
  } else {
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  }
  spdlog::set_level(spdlog::level::from_str(level));
  spdlog::flush_on(spdlog::level::info);
}

}  // namespace lemoncroft::cli
