// HTTP connections to the engines, reused between calls.
//
// The pool is keyed by engine id and incarnation, not by address: a new engine may have the address of one
// that has left. Connections of an incarnation that has ended are closed when they are returned.
//
// Owner: Engines. Callers: Engines; the proxy's wiring changes the limits. Every PooledConnection is
// destroyed before the pool. Thread safety: none; used on the event loop's thread.
#ifndef LEMONCROFT_BACKEND_CONNECTION_POOL_H_
#define LEMONCROFT_BACKEND_CONNECTION_POOL_H_

#include <cstddef>
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

// A connection acquired from the pool, or none. Returns it to the pool when destroyed.
class PooledConnection {
 public:
  PooledConnection() = default;
  PooledConnection(PooledConnection&& other) noexcept { *this = std::move(other); }
  PooledConnection& operator=(PooledConnection&& other) noexcept;
  ~PooledConnection() { Return(); }

  http::Connection& operator*() const { return *connection_; }
  http::Connection* operator->() const { return connection_.get(); }
  explicit operator bool() const { return connection_ != nullptr; }
  // True if it carried calls before it was acquired.
  bool reused() const { return reused_; }
  // Returns it to the pool, which keeps it if another call can use it.
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
    std::size_t max_connections = 512;  // to all engines together, idle ones included
    runtime::Duration idle_timeout{};   // shorter than the engines' own, so that the pool closes first
    codec::HttpParser::Limits response{16 * 1024, 16 * 1024};
  };

  // Whether Acquire may return a connection that carried calls before.
  enum class Reuse { kIfIdle, kNever };

  ConnectionPool(runtime::Loop& loop, const discovery::EndpointDirectory& directory, Limits limits)
      : loop_(loop), directory_(directory), limits_(limits) {}

  // Acquires a connection to an engine into `out`; `out` is unchanged on failure. kNoDescriptors: the limit
  // is reached and no idle connection can be closed, or the process has no descriptors. kClosed: the engine
  // isn't listed, or changed during the connect. Others as in runtime::Connect.
  runtime::Task<runtime::IoResult> Acquire(EngineId engine, runtime::Time deadline,
                                           runtime::Cancellation* cancel, PooledConnection& out,
                                           Reuse reuse = Reuse::kIfIdle);
  // Closes the idle connections to an engine.
  void CloseIdle(EngineId engine);
  // Closes connections that have been idle for too long, for as long as the loop runs.
  runtime::Task<> CloseExpired();

  // Changes the limit; closes idle connections that exceed it.
  void set_max_connections(std::size_t max_connections);
  void set_idle_timeout(runtime::Duration idle_timeout) { limits_.idle_timeout = idle_timeout; }
  // Connections that are open or being opened, idle ones included.
  std::size_t open_connections() const { return open_connections_; }

 private:
  friend class PooledConnection;
  enum class Origin { kNew, kReused };
  struct IdleConnection {
    std::unique_ptr<http::Connection> connection;
    runtime::Time since;
  };

  void Lend(const discovery::Endpoint& endpoint, std::unique_ptr<http::Connection> connection, Origin origin,
            PooledConnection& out);
  void TakeBack(PooledConnection& connection);
  // Closes one idle connection; false if there is none.
  bool EvictOne();
  // The engine's most recently used idle connection that is fit for use; null if there is none.
  std::unique_ptr<http::Connection> TakeIdle(EngineId engine);

  runtime::Loop& loop_;
  const discovery::EndpointDirectory& directory_;
  Limits limits_;
  // Per engine, the most recently used last. Has no entries of engines that have left.
  std::map<EngineId, std::deque<IdleConnection>> idle_;
  std::size_t open_connections_ = 0;
};

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_CONNECTION_POOL_H_
