#include "frontend/request_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <cmath>
#include <optional>

#include "codec/order_key.h"
#include "codec/statement.h"
#include "frontend/client_fields.h"

namespace lemoncroft::frontend {
namespace {

using namespace client_protocol;

constexpr std::size_t kRequestIdDigits = 16;
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
// Larger numbers are rejected, since they would pass for a load that no engine can have.
constexpr double kMaxWorkFactor = 100;    // times the class's client timeout
constexpr double kMaxMemoryFactor = 16;   // times the largest engine's memory
constexpr double kMaxTimeoutFactor = 10;  // times the class's client timeout

struct Estimates {
  double timeout_ms = 0;
  double cpu_ms = 0;
  double memory_mb = 0;
};

// Request ids become part of a path in the requests to engines.
bool IsRequestId(std::string_view text) {
  const auto is_digit = [](unsigned char c) { return std::isxdigit(c) != 0; };
  return text.size() == kRequestIdDigits && std::all_of(text.begin(), text.end(), is_digit);
}

// Idempotency keys become the value of a header in the requests to engines.
bool IsIdempotencyKey(std::string_view text) {
  const auto is_allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; };
  return !text.empty() && text.size() <= kMaxIdempotencyKeyBytes &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

// Returns `default_value` for an empty text, and nothing for an invalid number or one above `max`. A `max` of
// 0 means that no bound is known.
std::optional<double> ParseNumberOr(std::string_view text, double default_value, double max) {
  const std::optional<double> value = text.empty() ? std::optional(default_value) : ParseNumber(text);
  if (max > 0 && value > max) return std::nullopt;
  return value;
}

double LargestEngineMemoryMb(const settings::Site& settings) {
  double memory_mb = 0;
  for (const KindSettings& kind : settings.module.kinds) memory_mb = std::max(memory_mb, kind.memory_mb);
  return memory_mb;
}

std::optional<Estimates> ParseEstimates(const codec::Fields& fields, const ClassSettings& request_class,
                                        const settings::Site& settings) {
  const double client_timeout_ms = static_cast<double>(request_class.client_timeout) / 1e6;
  const double max_memory_mb = kMaxMemoryFactor * LargestEngineMemoryMb(settings);
  const auto timeout =
      ParseNumberOr(fields.Get(kFieldTimeoutMs), client_timeout_ms, kMaxTimeoutFactor * client_timeout_ms);
  const auto cpu = ParseNumberOr(fields.Get(kFieldEstimatedCpuMs), 0, kMaxWorkFactor * client_timeout_ms);
  const auto memory = ParseNumberOr(fields.Get(kFieldEstimatedMemoryMb), 0, max_memory_mb);
  if (!timeout || !cpu || !memory) return std::nullopt;
  return Estimates{*timeout, *cpu, *memory};
}

runtime::Duration FromMs(double ms) {
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double, std::milli>(ms));
}

request::ForwardedFields ForwardedFieldsOf(const codec::Fields& fields) {
  request::ForwardedFields forwarded;
  forwarded.request_id = fields.Get(kFieldRequestId);
  forwarded.class_name = fields.Get(kFieldClassName);
  forwarded.idempotency_key = fields.Get(kFieldIdempotencyKey);
  forwarded.statement = fields.body;
  return forwarded;
}

}  // namespace

std::string_view ErrorText(RequestError error) {
  switch (error) {
    case RequestError::kUnknownClass:
      return kErrorUnknownClass;
    case RequestError::kUnknownTenant:
      return kErrorUnknownTenant;
    case RequestError::kInvalidRequestId:
      return kErrorInvalidRequestId;
    case RequestError::kInvalidIdempotencyKey:
      return kErrorInvalidIdempotencyKey;
    case RequestError::kInvalidOrderingKey:
      return kErrorInvalidOrderingKey;
    case RequestError::kMissingStatement:
      return kErrorMissingStatement;
    case RequestError::kInvalidNumber:
      return kErrorInvalidNumber;
  }
  return kErrorMalformedFields;
}

tl::expected<request::ClientRequest, RequestError> ParseRequest(const codec::Fields& fields,
                                                                const settings::Site& settings) {
  const auto class_id = settings.ClassOf(fields.Get(kFieldClassName));
  if (!class_id) return tl::unexpected(RequestError::kUnknownClass);
  const auto tenant = settings.TenantOf(fields.Get(kFieldTenant));
  if (!tenant) return tl::unexpected(RequestError::kUnknownTenant);
  if (!IsRequestId(fields.Get(kFieldRequestId))) return tl::unexpected(RequestError::kInvalidRequestId);
  const ClassSettings& request_class = settings.module.classes[*class_id];
  const std::string_view idempotency_key = fields.Get(kFieldIdempotencyKey);
  const bool has_or_needs_idempotency_key =
      !idempotency_key.empty() || request_class.effect == Effect::kKeyed;
  if (has_or_needs_idempotency_key && !IsIdempotencyKey(idempotency_key))
    return tl::unexpected(RequestError::kInvalidIdempotencyKey);
  const std::string_view ordering_key = fields.Get(kFieldOrderingKey);
  if (!ordering_key.empty() && !codec::IsValidOrderingKey(ordering_key))
    return tl::unexpected(RequestError::kInvalidOrderingKey);
  if (fields.body.empty()) return tl::unexpected(RequestError::kMissingStatement);
  const auto estimates = ParseEstimates(fields, request_class, settings);
  if (!estimates) return tl::unexpected(RequestError::kInvalidNumber);

  request::ClientRequest request;
  request.class_id = *class_id;
  request.tenant = *tenant;
  request.ordering_key = ordering_key.empty() ? 0 : codec::OrderingKeyNumber(ordering_key);
  request.deadline = runtime::Now() + FromMs(estimates->timeout_ms);
  request.estimated_work = FromMs(estimates->cpu_ms);
  request.estimated_memory_mb = estimates->memory_mb;
  request.table_group = codec::TableGroup(fields.body);
  request.wants_wait_notices = !fields.Get(kFieldWantsWaitNotices).empty();
  request.forwarded = ForwardedFieldsOf(fields);
  return request;
}

}  // namespace lemoncroft::frontend
