// Connections to the engines, kept per engine id: a new engine may have the address of one that has gone.
#ifndef LEMONCROFT_BACKEND_CONNECTION_POOL_H_
#define LEMONCROFT_BACKEND_CONNECTION_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>

#include "discovery/endpoint_directory.h"
#include "http/connection.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::backend {

class ConnectionPool;

// A connection taken from the pool; goes back there by itself if it is fit for another call.
class PooledConnection {
 public:
  PooledConnection() = default;
  PooledConnection(PooledConnection&& other) noexcept { *this = std::move(other); }
  PooledConnection& operator=(PooledConnection&& other) noexcept;
  ~PooledConnection() { Return(); }

  http::Connection& operator*() const { return *connection_; }
  http::Connection* operator->() const { return connection_.get(); }
  explicit operator bool() const { return connection_ != nullptr; }
  bool reused() const { return reused_; }
  void Return();

 private:
  friend class ConnectionPool;
  ConnectionPool* pool_ = nullptr;
  EngineId engine_ = 0;
  std::uint64_t incarnation_ = 0;  // of the engine
  bool reused_ = false;
  std::unique_ptr<http::Connection> connection_;
};

class ConnectionPool {
 public:
  struct Limits {
    std::size_t max_connections = 512;  // to all engines together, idle ones too
    runtime::Span idle_timeout{};       // an idle connection is closed after this: before the engine does
    codec::HttpParser::Limits answer{16 * 1024, 16 * 1024};  // a page has 6,000 bytes at most
  };

  ConnectionPool(runtime::Loop& loop, const discovery::EndpointDirectory& directory, Limits limits)
      : loop_(loop), directory_(directory), limits_(limits) {}

  enum class Want { kAny, kFresh };
  // An idle connection, unless a fresh one is wanted, or a new one. kNoDescriptors where this process has
  // none to spare.
  runtime::Task<runtime::Io> Acquire(EngineId engine, runtime::Time deadline, runtime::Cancellation* cancel,
                                     PooledConnection& out, Want want = Want::kAny);
  // Gives up idle ones where there are more.
  void set_max_connections(std::size_t most);
  std::size_t open_connections() const { return open_; }
  void set_idle_timeout(runtime::Span idle) { limits_.idle_timeout = idle; }
  void CloseIdle(EngineId engine);  // its idle connections
  runtime::Task<> CloseExpired();

 private:
  friend class PooledConnection;
  struct Idle {
    std::unique_ptr<http::Connection> connection;
    runtime::Time since;
  };

  void Fill(PooledConnection& lease, const discovery::Endpoint& endpoint,
            std::unique_ptr<http::Connection> connection, bool reused);
  void Return(PooledConnection& lease);
  bool EvictOne();
  std::unique_ptr<http::Connection> TakeIdle(EngineId engine);  // null: none is fit

  runtime::Loop& loop_;
  const discovery::EndpointDirectory& directory_;
  Limits limits_;
  std::map<EngineId, std::deque<Idle>> idle_;  // the latest used last; nothing of engines that have gone
  std::size_t open_ = 0;
};

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_CONNECTION_POOL_H_
