// Sends the broker's response to a request on the stream that the request arrived on.
//
// The broker owns the sink as long as the request is open. If the connection has ended before, the sink drops
// responses and wait notices.
#ifndef LEMONCROFT_FRONTEND_STREAM_RESPONSE_SINK_H_
#define LEMONCROFT_FRONTEND_STREAM_RESPONSE_SINK_H_

#include <cstdint>
#include <memory>
#include <utility>

#include "frontend/client_connection.h"
#include "request/client_request.h"

namespace lemoncroft::frontend {

class StreamResponseSink : public request::ResponseSink {
 public:
  StreamResponseSink(std::weak_ptr<ClientConnection> connection, std::uint32_t stream)
      : connection_(std::move(connection)), stream_(stream) {}

  void Complete(const request::Response& response) override {
    if (const auto connection = connection_.lock()) connection->SendResponse(stream_, response);
  }

  void NotifyWait(const request::WaitNotice& notice) override {
    if (const auto connection = connection_.lock()) connection->SendWaitNotice(stream_, notice);
  }

 private:
  std::weak_ptr<ClientConnection> connection_;
  std::uint32_t stream_;
};

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_STREAM_RESPONSE_SINK_H_
