#include "backend/connection_pool.h"

namespace lemoncroft::backend {

using runtime::Io;
using namespace std::chrono_literals;

namespace {
constexpr auto kRest = 25ms;
}

PooledConnection& PooledConnection::operator=(PooledConnection&& other) noexcept {
  if (this != &other) {
    Return();
    pool_ = std::exchange(other.pool_, nullptr);
    engine_ = other.engine_;
    incarnation_ = other.incarnation_;
    reused_ = other.reused_;
    connection_ = std::move(other.connection_);
  }
  return *this;
}

void PooledConnection::Return() {
  if (pool_ != nullptr) pool_->Return(*this);
  pool_ = nullptr;
  connection_.reset();
}

void ConnectionPool::Fill(PooledConnection& lease, const discovery::Endpoint& endpoint,
                          std::unique_ptr<http::Connection> connection, bool reused) {
  lease.Return();
  lease.pool_ = this;
  lease.engine_ = endpoint.effective.engine;
  lease.incarnation_ = endpoint.incarnation;
  lease.reused_ = reused;
  lease.connection_ = std::move(connection);
}

void ConnectionPool::Return(PooledConnection& lease) {
  const discovery::Endpoint* endpoint = directory_.Find(lease.engine_);
  if (endpoint != nullptr && endpoint->incarnation == lease.incarnation_ && lease.connection_->Reusable()) {
    idle_[lease.engine_].push_back({std::move(lease.connection_), runtime::Now()});
  } else {
    --open_;
  }
}

// What a peer sends beyond its answer may come a moment after it, and must not pass for the next one.
std::unique_ptr<http::Connection> ConnectionPool::TakeIdle(EngineId engine) {
  const auto it = idle_.find(engine);
  if (it == idle_.end()) return nullptr;
  auto& idle = it->second;
  const runtime::Time rested = runtime::Now() - kRest;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (idle[i].since > rested) continue;
    std::unique_ptr<http::Connection> connection = std::move(idle[i].connection);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->Reusable()) return connection;
    --open_;
  }
  return nullptr;
}

runtime::Task<Io> ConnectionPool::Acquire(EngineId engine, runtime::Time deadline,
                                          runtime::Cancellation* cancel, PooledConnection& out, Want want) {
  const discovery::Endpoint* endpoint = directory_.Find(engine);
  if (endpoint == nullptr) co_return Io::kClosed;
  if (want == Want::kAny) {
    if (auto connection = TakeIdle(engine)) {
      Fill(out, *endpoint, std::move(connection), true);
      co_return Io::kOk;
    }
  }
  if (open_ >= limits_.max_connections && !EvictOne()) co_return Io::kNoDescriptors;
  const std::uint64_t incarnation = endpoint->incarnation;
  std::unique_ptr<runtime::Socket> socket;
  ++open_;  // counted before it is up, so that many at a time can't pass the limit
  Io io = co_await Connect(loop_, endpoint->address, deadline, cancel, socket);
  // The list may have changed meanwhile: the address may be another engine's now.
  endpoint = directory_.Find(engine);
  if (io == Io::kOk && (endpoint == nullptr || endpoint->incarnation != incarnation)) io = Io::kClosed;
  if (io != Io::kOk) {
    --open_;
    co_return io;
  }
  Fill(out, *endpoint,
       std::make_unique<http::Connection>(std::move(socket), endpoint->host_port, limits_.answer), false);
  co_return Io::kOk;
}

void ConnectionPool::CloseIdle(EngineId engine) {
  const auto it = idle_.find(engine);
  if (it == idle_.end()) return;
  open_ -= it->second.size();
  idle_.erase(it);
}

void ConnectionPool::set_max_connections(std::size_t most) {
  limits_.max_connections = most;
  while (open_ > most && EvictOne()) {
  }
}

// Makes room: the engine with the most idle connections loses the one that has been idle longest.
bool ConnectionPool::EvictOne() {
  std::deque<Idle>* most = nullptr;
  for (auto& [id, idle] : idle_) {
    if (!idle.empty() && (most == nullptr || idle.size() > most->size())) most = &idle;
  }
  if (most == nullptr) return false;
  most->pop_front();
  --open_;
  return true;
}

runtime::Task<> ConnectionPool::CloseExpired() {
  for (;;) {
    co_await loop_.Sleep(500ms);
    const runtime::Time before = runtime::Now() - limits_.idle_timeout;
    for (auto& [id, idle] : idle_) {
      while (!idle.empty() && idle.front().since < before) {
        idle.pop_front();
        --open_;
      }
    }
  }
}

}  // namespace lemoncroft::backend
