// One HTTP/1.1 connection of a client, with one call on it at a time.
//
// Contract: Send (or Call) only when no response is pending. Every wait ends at its deadline or with its
// cancellation; a wait for a response that was cut short can be resumed with Receive. Owners: the engines'
// connection pool and the control feed's watch. Thread safety: none; used on the event loop's thread.
// Errors: as runtime::IoResult; kClosed also for a response that can't be parsed, after which the connection
// is not reusable, and for a request that can't be written as a header.
#ifndef LEMONCROFT_HTTP_CONNECTION_H_
#define LEMONCROFT_HTTP_CONNECTION_H_

#include <memory>
#include <string>
#include <utility>

#include "codec/http.h"
#include "runtime/socket.h"

namespace lemoncroft::http {

class Connection {
 public:
  // `host` is the value of the Host header.
  Connection(std::unique_ptr<runtime::Socket> socket, std::string host, codec::HttpParser::Limits limits = {})
      : socket_(std::move(socket)), host_(std::move(host)), limits_(limits), parser_(limits) {}

  // Sends a request; its response is to be received next.
  runtime::Task<runtime::IoResult> Send(const codec::HttpRequest& request, runtime::Time deadline,
                                        runtime::Cancellation* cancel);
  // Receives the response to the request sent last. The response has to begin by `deadline`, and is received
  // completely soon after that or not at all.
  runtime::Task<runtime::IoResult> Receive(runtime::Time deadline, runtime::Cancellation* cancel,
                                           codec::HttpResponse& out);
  // The same for a long response, which has to begin by `begin_by` and to be complete by `complete_by`.
  runtime::Task<runtime::IoResult> Receive(runtime::Time begin_by, runtime::Time complete_by,
                                           runtime::Cancellation* cancel, codec::HttpResponse& out);
  // Sends a request and receives its response.
  runtime::Task<runtime::IoResult> Call(const codec::HttpRequest& request, runtime::Time deadline,
                                        runtime::Cancellation* cancel, codec::HttpResponse& out);

  // True while a response is still to come.
  bool pending() const { return pending_; }
  // True if the last Send passed any byte to the kernel.
  bool sent_any() const { return sent_any_; }
  // True if bytes that can't begin a response follow the last one: its length may have been wrong.
  bool HasExcessBytes() const;
  // True if another request may be sent.
  bool Reusable() const { return !pending_ && keep_alive_ && received_.empty() && socket_->IsIdle(); }

 private:
  std::unique_ptr<runtime::Socket> socket_;
  std::string host_;
  codec::HttpParser::Limits limits_;
  codec::HttpParser parser_;
  std::string received_;  // not parsed yet
  bool pending_ = false;
  bool sent_any_ = false;
  bool keep_alive_ = true;
};

}  // namespace lemoncroft::http

#endif  // LEMONCROFT_HTTP_CONNECTION_H_
