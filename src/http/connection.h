// The client side of an HTTP/1.1 connection, with one call at a time.
//
// Send and Call may be called only when no response is pending. Every wait ends at its deadline or on its
// cancellation; Receive can resume an interrupted wait for a response. Connections are owned by the engines'
// connection pool and the watch of the control feed. The class is not thread-safe; it is used on the event
// loop's thread.
//
// Errors are runtime::IoResult values. kClosed is also returned for a response that can't be parsed, after
// which the connection is not reusable, and for a request whose head can't be written. kReset: the connection
// failed, so that no response is complete, not even one whose body ends with the connection.
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

  // Sends a request. The caller must receive its response next.
  runtime::Task<runtime::IoResult> Send(const codec::HttpRequest& request, runtime::Time deadline,
                                        runtime::Cancellation* cancel);
  // Receives the response to the last request. No read waits past `deadline`, nor, once the response has
  // begun, for longer than a stall timeout.
  runtime::Task<runtime::IoResult> Receive(runtime::Time deadline, runtime::Cancellation* cancel,
                                           codec::HttpResponse& out);
  // Receives a long response, which must begin by `begin_by` and be complete by `complete_by`. The stall
  // timeout applies here too.
  runtime::Task<runtime::IoResult> Receive(runtime::Time begin_by, runtime::Time complete_by,
                                           runtime::Cancellation* cancel, codec::HttpResponse& out);
  // Sends a request and receives its response.
  runtime::Task<runtime::IoResult> Call(const codec::HttpRequest& request, runtime::Time deadline,
                                        runtime::Cancellation* cancel, codec::HttpResponse& out);

  // Sends a request and receives the head of its response, without the body. The connection is not reusable
  // afterwards.
  runtime::Task<runtime::IoResult> CallForHead(const codec::HttpRequest& request, runtime::Time deadline,
                                               runtime::Cancellation* cancel, codec::HttpResponse& out);

  // Returns true while a response is pending.
  bool pending() const { return pending_; }
  // Returns true if the last Send passed any byte to the kernel.
  bool sent_any_bytes() const { return sent_any_bytes_; }
  // Returns true if the peer's host has received the last request whole. Its process may read it at any later
  // time, even after this connection has been closed or reset.
  bool HasDeliveredRequest() const { return sent_whole_ && socket_->IsDelivered(); }
  // Returns true if any byte of the response to the last request has arrived.
  bool response_has_begun() const { return response_has_begun_; }
  // Makes the close reset the connection, so that no part of a pending request is delivered after it.
  void ResetOnClose() { socket_->ResetOnClose(); }
  // Returns true if the last response is followed by bytes that can't begin another one. The length of the
  // last response may have been wrong.
  bool HasExcessBytes() const;
  // Returns true if another request may be sent.
  bool Reusable() const { return !pending_ && keep_alive_ && received_.empty() && socket_->IsIdle(); }

 private:
  enum class Until { kHead, kEnd };
  runtime::Task<runtime::IoResult> ReceiveUntil(Until until, runtime::Time begin_by,
                                                runtime::Time complete_by, runtime::Cancellation* cancel,
                                                codec::HttpResponse& out);

  std::unique_ptr<runtime::Socket> socket_;
  std::string host_;
  codec::HttpParser::Limits limits_;
  codec::HttpParser parser_;
  std::string received_;  // not parsed yet
  bool pending_ = false;
  bool sent_any_bytes_ = false;
  bool sent_whole_ = false;  // handed to the kernel
  bool response_has_begun_ = false;
  bool keep_alive_ = true;
};

}  // namespace lemoncroft::http

#endif  // LEMONCROFT_HTTP_CONNECTION_H_
