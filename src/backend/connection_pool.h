// A pool of HTTP connections to the engines, which are reused between calls.
//
// The pool is keyed by engine id, not by address, because a new engine may have the address of an engine that
// has left. A connection to an incarnation that has ended is closed when it is returned; CloseIdle must be
// called to close the idle ones.
//
// Engines owns and uses the pool; the code that assembles the proxy changes its limits. Every
// PooledConnection must be destroyed before the pool. The pool is not thread-safe; it is used on the event
// loop's thread.
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

// A connection that was acquired from the pool, or none. The destructor returns it to the pool.
class PooledConnection {
 public:
  PooledConnection() = default;
  PooledConnection(PooledConnection&& other) noexcept { *this = std::move(other); }
  PooledConnection& operator=(PooledConnection&& other) noexcept;
  ~PooledConnection() { ReturnToPool(); }

  http::Connection& operator*() const { return *connection_; }
  http::Connection* operator->() const { return connection_.get(); }
  explicit operator bool() const { return connection_ != nullptr; }
  // Returns true if the connection was already used for calls before it was acquired.
  bool reused() const { return reused_; }
  // Returns the connection to the pool, which keeps it if another call can use it.
  void ReturnToPool();

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
    runtime::Duration idle_timeout{};   // shorter than the engines' timeout, so that the pool closes first
    codec::HttpParser::Limits response{16 * 1024, 16 * 1024};
  };

  // Selects whether Acquire may return a connection that was already used for calls.
  enum class Reuse { kIfIdle, kNever };

  ConnectionPool(runtime::Loop& loop, const discovery::EndpointDirectory& directory, Limits limits)
      : loop_(loop), directory_(directory), limits_(limits) {}

  // Acquires a connection to an engine and stores it in `out`, which is unchanged on failure. Returns
  // kNoDescriptors if the limit is reached and no idle connection can be closed, or if the process has no
  // descriptors left; kClosed if the engine isn't listed, or if its entry changed during the connect. The
  // other results are those of runtime::Connect.
  runtime::Task<runtime::IoResult> Acquire(EngineId engine, runtime::Time deadline,
                                           runtime::Cancellation* cancel, PooledConnection& out,
                                           Reuse reuse = Reuse::kIfIdle);
  // Closes the idle connections to an engine.
  void CloseIdle(EngineId engine);
  // Closes connections that exceed the idle timeout. Runs until the loop stops.
  runtime::Task<> CloseExpired();

  // Changes the limit, and closes idle connections while it is exceeded.
  void set_max_connections(std::size_t max_connections);
  void set_idle_timeout(runtime::Duration idle_timeout) { limits_.idle_timeout = idle_timeout; }
  // The number of connections that are open or being opened, idle ones included.
  std::size_t open_connections() const { return open_connections_; }

 private:
  friend class PooledConnection;
  enum class Origin { kNew, kReused };
  struct IdleConnection {
    std::unique_ptr<http::Connection> connection;
    runtime::Time since;
  };

  void Assign(const discovery::Endpoint& endpoint, std::unique_ptr<http::Connection> connection,
              Origin origin, PooledConnection& out);
  void Return(PooledConnection& connection);
  // Closes one idle connection. Returns false if there is none.
  bool EvictIdleConnection();
  // Removes and returns the engine's most recently used idle connection that is reusable; null if there is
  // none.
  std::unique_ptr<http::Connection> TakeIdle(EngineId engine);

  runtime::Loop& loop_;
  const discovery::EndpointDirectory& directory_;
  Limits limits_;
  // The idle connections to each engine, the most recently used one last. Has no entries of engines that have
  // left.
  std::map<EngineId, std::deque<IdleConnection>> idle_;
  std::size_t open_connections_ = 0;
};

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_CONNECTION_POOL_H_
