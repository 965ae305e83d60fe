// A request and its answer as the broker knows them, whatever protocol they came by.
#ifndef LEMONCROFT_BROKER_REQUEST_H_
#define LEMONCROFT_BROKER_REQUEST_H_

#include <cstdint>
#include <string>

#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::broker {

// What goes on to the engine as the bytes that came.
struct ForwardedFields {
  std::string id;
  std::string lane;
  std::string dedupe;  // empty: none
  std::string statement;

  std::size_t bytes() const { return id.size() + lane.size() + dedupe.size() + statement.size(); }
};

struct ClientRequest {
  ForwardedFields passed;
  std::uint16_t class_id = 0;
  std::uint16_t tenant = kNoTenant;
  std::uint64_t order_key = 0;  // 0: none
  std::uint32_t tables = 0;
  runtime::Time deadline{};  // when the client stops waiting
  runtime::Span est_work{};  // zero: no estimate
  double est_memory_mb = 0;  // likewise
  bool watched = false;      // its client wants to be told how long it will wait
};

enum class Verdict { kServed, kRefused, kFailed };

struct Answer {
  Verdict verdict = Verdict::kFailed;
  runtime::Span retry_after{};  // of a refusal; zero: no advice
  std::string rows;             // of a served request
};

// An estimate of the wait until a request first goes to an engine; told only to those that ask.
struct WaitNotice {
  runtime::Span wait{};
  runtime::Span most{};  // with the error that estimates have lately had
};

// Where one request's final answer goes. Finish is called once at the most, and neither after
// Broker::Abandon.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void Finish(const Answer& answer) = 0;
  virtual void NotifyWait(const WaitNotice&) {}  // any number of times before
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_REQUEST_H_
