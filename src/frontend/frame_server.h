// The clients' side: connections of binary frames, whose requests go to the broker.
#ifndef LEMONCROFT_FRONTEND_FRAME_SERVER_H_
#define LEMONCROFT_FRONTEND_FRAME_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "broker/broker.h"
#include "codec/frame.h"
#include "metrics/counters.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace lemoncroft::frontend {

class FrameServer {
 public:
  struct Limits {
    std::size_t connections = 400;
    std::size_t unread = std::size_t{4} << 20;  // bytes of answers that a client leaves unread
    std::size_t unread_by_all = std::size_t{32} << 20;
    std::size_t unparsed_of_all = std::size_t{48} << 20;  // bytes of frames that have not come whole
  };

  FrameServer(runtime::Loop& loop, std::unique_ptr<runtime::Listener> listener,
              const settings::ActiveSettings& site, broker::Broker& broker, metrics::Counters& counters,
              Limits limits);
  ~FrameServer();

  void Start() { loop_.Spawn(AcceptAll()); }
  void set_ready(bool ready) { ready_ = ready; }
  // Whether clients that ask for it, by the field `foretell`, are told how long they will wait.
  void set_foretells(bool foretells) { foretells_ = foretells; }
  // Asks the clients of all present connections for no new request on them; is ready no more, whatever a
  // change of the list says later.
  void AnnounceEnd();
  // Lets in those who wait in the listening socket's queue, or leaves them to another process that holds it.
  enum class Queue { kLetIn, kLeave };
  void StopAccepting(Queue queue);
  void set_connections(std::size_t most) { limits_.connections = most; }
  std::size_t connections();  // open now
  bool flushed() const;       // every answer has been handed to the kernel
  // Shuts all connections on which nothing is open and nothing has come that was not read. To be called again
  // until there are none.
  void CloseResting();

 private:
  struct Connection;
  class Sink;
  using ConnectionPtr = std::shared_ptr<Connection>;

  runtime::Task<> AcceptAll();
  bool HasRoom();
  void TellTurnedAway();
  std::size_t Reserve() const;  // connections that may be on their way out ahead of need
  void MakeRoom();              // for one more connection, by shutting one that is worth less
  // Shuts a connection that owes no answer and is owed none; false: it is not at rest.
  bool Shut(Connection& connection);
  runtime::Task<> Serve(ConnectionPtr connection);
  runtime::Task<> ReadIn(ConnectionPtr connection);  // until nothing more is to be taken
  // What can't be read any more is dropped, so that the client's leaving is seen while it is owed answers.
  runtime::Task<> DropRest(ConnectionPtr connection);
  runtime::Task<> WriteOut(ConnectionPtr connection);
  bool TakeFrames(const ConnectionPtr& connection);  // false: what follows can't be read
  void TakeFrame(const ConnectionPtr& connection, const codec::Frame& frame);
  void TakeRequest(const ConnectionPtr& connection, const codec::Frame& frame);
  // What is wrong with the request, or empty.
  std::string Describe(const codec::Fields& fields, request::ClientRequest& out) const;
  // An error to a request, or on stream 0 to none.
  void Reject(Connection& connection, std::uint32_t stream, std::string_view why);
  void Append(Connection& connection, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
              const codec::FieldViews& fields = {}, std::string_view body = {});
  // A request that ends here, before the broker has heard of it.
  void CountEnd(std::string_view class_id, metrics::End how);
  void CancelRequest(Connection& connection);
  void CutOff(Connection& connection);
  bool Count(Connection& connection);  // its half frame in the total; false: that is too much

  runtime::Loop& loop_;
  const settings::ActiveSettings& site_;
  broker::Broker& broker_;
  metrics::Counters& counters_;
  Limits limits_;
  std::unique_ptr<runtime::Listener> listener_;
  runtime::Cancellation stop_accepting_;
  runtime::Gate room_;
  std::list<std::weak_ptr<Connection>> connections_;  // by age
  std::size_t unread_ = 0;                            // bytes handed to the writers and not yet to the kernel
  std::size_t unparsed_ = 0;
  std::size_t turned_away_ = 0;
  runtime::Time told_turned_away_{};
  Queue queue_ = Queue::kLetIn;
  bool ready_ = false;
  bool foretells_ = false;
  bool ending_ = false;
};

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_FRAME_SERVER_H_
