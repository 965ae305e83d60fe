// One client connection of HTTP/1.1, with one call on it at a time.
#ifndef LEMONCROFT_HTTP_CONNECTION_H_
#define LEMONCROFT_HTTP_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "codec/http.h"
#include "runtime/socket.h"

namespace lemoncroft::http {

class Connection {
 public:
  Connection(std::unique_ptr<runtime::Socket> socket, std::string host, codec::HttpParser::Limits limits = {})
      : socket_(std::move(socket)), host_(std::move(host)), limits_(limits), parser_(limits) {}

  // Sends a call; the response is to be received next.
  runtime::Task<runtime::Io> Send(const codec::HttpRequest& request, runtime::Time deadline,
                                  runtime::Cancellation* cancel);
  // Sends a call and waits for its response. Once that has begun, the rest of it follows soon or not at all.
  runtime::Task<runtime::Io> Call(const codec::HttpRequest& request, runtime::Time deadline,
                                  runtime::Cancellation* cancel, codec::HttpResponse& out);
  // Waits for the response to a call that was sent, or goes on where a wait was cut short.
  runtime::Task<runtime::Io> Receive(runtime::Time deadline, runtime::Cancellation* cancel,
                                     codec::HttpResponse& out);
  // The same for a long response: it has to begin by `begin_by` and to be whole by `whole_by`.
  runtime::Task<runtime::Io> Receive(runtime::Time begin_by, runtime::Time whole_by,
                                     runtime::Cancellation* cancel, codec::HttpResponse& out);

  bool pending() const { return pending_; }    // a response is still to come
  bool sent_any() const { return sent_any_; }  // the last call has handed bytes to the kernel
  // Bytes that no answer begins with follow the last one: its length may have been told too short.
  bool Overrun() const {
    return !in_.empty() &&
           !std::string_view(in_).starts_with(std::string_view("HTTP/1.").substr(0, in_.size()));
  }
  bool Reusable() const { return !pending_ && keep_ && in_.empty() && socket_->IsIdle(); }

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
