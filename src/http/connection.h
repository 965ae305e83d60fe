// One client connection of HTTP/1.1, with one call on it at a time.
#ifndef LEMONCROFT_HTTP_CONNECTION_H_
#define LEMONCROFT_HTTP_CONNECTION_H_

#include <memory>
#include <string>

#include "codec/http.h"
#include "runtime/socket.h"

namespace lemoncroft::http {

class Connection {
 public:
  Connection(std::unique_ptr<runtime::Socket> socket, std::string host, codec::HttpParser::Limits limits = {})
      : socket_(std::move(socket)), host_(std::move(host)), limits_(limits), parser_(limits) {}

  // Sends a call and waits for its response.
  runtime::Task<runtime::Io> Call(const codec::HttpRequest& request, runtime::Time deadline,
                                  runtime::Cancellation* cancel, codec::HttpResponse& out);
  // Goes on waiting for the response to a call whose wait was cut short.
  runtime::Task<runtime::Io> Receive(runtime::Time deadline, runtime::Cancellation* cancel,
                                     codec::HttpResponse& out);

  bool pending() const { return pending_; }    // a response is still to come
  bool sent_any() const { return sent_any_; }  // the last call has handed bytes to the kernel
  bool Reusable() const { return !pending_ && keep_ && in_.empty() && socket_->Quiet(); }

 private:
  std::unique_ptr<runtime::Socket> socket_;
  std::string host_;
  codec::HttpParser::Limits limits_;
  codec::HttpParser parser_;
  std::string in_;
  bool pending_ = false;
  bool sent_any_ = false;
  bool keep_ = true;
};

}  // namespace lemoncroft::http

#endif  // LEMONCROFT_HTTP_CONNECTION_H_
