#include "backend/connection_pool.h"

#include <utility>

namespace lemoncroft::backend {

using runtime::IoResult;
using namespace std::chrono_literals;

namespace {

// An idle connection must be silent for this long before it is reused. Excess bytes that an engine sends
// after a complete response may arrive slightly later, and must not be mistaken for the next response.
constexpr auto kQuietPeriod = 25ms;
constexpr auto kExpiryCheckInterval = 500ms;

}  // namespace

PooledConnection& PooledConnection::operator=(PooledConnection&& other) noexcept {
  if (this != &other) {
    ReturnToPool();
    pool_ = std::exchange(other.pool_, nullptr);
    engine_ = other.engine_;
    incarnation_ = other.incarnation_;
    reused_ = other.reused_;
    connection_ = std::move(other.connection_);
  }
  return *this;
}

void PooledConnection::ReturnToPool() {
  if (pool_ != nullptr) pool_->Return(*this);
  pool_ = nullptr;
  connection_.reset();
}

void ConnectionPool::Assign(const discovery::Endpoint& endpoint, std::unique_ptr<http::Connection> connection,
                            Origin origin, PooledConnection& out) {
  out.ReturnToPool();
  out.pool_ = this;
  out.engine_ = endpoint.effective.engine;
  out.incarnation_ = endpoint.incarnation;
  out.reused_ = origin == Origin::kReused;
  out.connection_ = std::move(connection);
}

void ConnectionPool::Return(PooledConnection& connection) {
  const discovery::Endpoint* endpoint = directory_.Find(connection.engine_);
  const bool same_incarnation = endpoint != nullptr && endpoint->incarnation == connection.incarnation_;
  if (same_incarnation && connection->Reusable()) {
    idle_[connection.engine_].push_back({std::move(connection.connection_), runtime::Now()});
  } else {
    --open_connections_;
  }
}

std::unique_ptr<http::Connection> ConnectionPool::TakeIdle(EngineId engine) {
  const auto it = idle_.find(engine);
  if (it == idle_.end()) return nullptr;
  std::deque<IdleConnection>& idle = it->second;
  const runtime::Time quiet_since = runtime::Now() - kQuietPeriod;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (idle[i].since > quiet_since) continue;
    std::unique_ptr<http::Connection> connection = std::move(idle[i].connection);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->Reusable()) return connection;
    --open_connections_;
  }
  return nullptr;
}

runtime::Task<IoResult> ConnectionPool::Acquire(EngineId engine, runtime::Time deadline,
                                                runtime::Cancellation* cancel, PooledConnection& out,
                                                Reuse reuse) {
  const discovery::Endpoint* endpoint = directory_.Find(engine);
  if (endpoint == nullptr) co_return IoResult::kClosed;
  if (reuse == Reuse::kIfIdle) {
    if (auto connection = TakeIdle(engine)) {
      Assign(*endpoint, std::move(connection), Origin::kReused, out);
      co_return IoResult::kOk;
    }
  }
  if (open_connections_ >= limits_.max_connections && !EvictIdleConnection())
    co_return IoResult::kNoDescriptors;
  const std::uint64_t incarnation = endpoint->incarnation;
  std::unique_ptr<runtime::Socket> socket;
  ++open_connections_;  // before the connect, so that concurrent connects can't exceed the limit
  IoResult io = co_await Connect(loop_, endpoint->address, deadline, cancel, socket);
  // The endpoint list may have changed during the connect: the address may now belong to another engine.
  endpoint = directory_.Find(engine);
  if (io == IoResult::kOk && (endpoint == nullptr || endpoint->incarnation != incarnation))
    io = IoResult::kClosed;
  if (io != IoResult::kOk) {
    --open_connections_;
    co_return io;
  }
  auto connection =
      std::make_unique<http::Connection>(std::move(socket), endpoint->host_port, limits_.response);
  Assign(*endpoint, std::move(connection), Origin::kNew, out);
  co_return IoResult::kOk;
}

void ConnectionPool::CloseIdle(EngineId engine) {
  const auto it = idle_.find(engine);
  if (it == idle_.end()) return;
  open_connections_ -= it->second.size();
  idle_.erase(it);
}

void ConnectionPool::set_max_connections(std::size_t max_connections) {
  limits_.max_connections = max_connections;
  while (open_connections_ > max_connections && EvictIdleConnection()) {
  }
}

// Chooses the engine with the most idle connections, and closes the one that has been idle longest.
bool ConnectionPool::EvictIdleConnection() {
  std::deque<IdleConnection>* largest = nullptr;
  for (auto& [id, idle] : idle_) {
    if (!idle.empty() && (largest == nullptr || idle.size() > largest->size())) largest = &idle;
  }
  if (largest == nullptr) return false;
  largest->pop_front();
  --open_connections_;
  return true;
}

runtime::Task<> ConnectionPool::CloseExpired() {
  for (;;) {
    co_await loop_.Sleep(kExpiryCheckInterval);
    const runtime::Time expired_before = runtime::Now() - limits_.idle_timeout;
    for (auto& [id, idle] : idle_) {
      while (!idle.empty() && idle.front().since < expired_before) {
        idle.pop_front();
        --open_connections_;
      }
    }
  }
}

}  // namespace lemoncroft::backend
