// Stand-ins of the second review: databases, a control feed, clients, and a platform that starts the
// project's programs. They follow the protocol page (kit/users/PROTOCOL.md). Threads and blocking sockets
// only; every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point kStart = Clock::now();
inline double Seconds() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// ---- The record ----

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

inline void Record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%8.3f ", Seconds());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

struct CannotRun {
  std::string reason;
};

// ---- Sockets ----

struct At {
  std::string host;
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in RawAddress(const At& at) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(static_cast<std::uint16_t>(at.port));
  ::inet_pton(AF_INET, at.host.c_str(), &raw.sin_addr);
  return raw;
}

inline int ListenAt(const At& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in raw = RawAddress(at);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0 || ::listen(fd, 512) != 0)
    throw CannotRun{"cannot listen at " + at.text()};
  return fd;
}

// A port that is free for TCP and UDP at this host. Each is given out once, and outside the range that the
// kernel gives to connections.
inline At FreeAddress(const std::string& host = "127.0.0.1") {
  static int next = 12000 + static_cast<int>(::getpid() % 2000) * 8;
  for (int i = 0; i < 4000; ++i) {
    next = next >= 31000 ? 12000 : next + 1;
    const sockaddr_in raw = RawAddress({host, next});
    bool is_free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      is_free = is_free && ::bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0;
      ::close(fd);
    }
    if (is_free) return {host, next};
  }
  throw CannotRun{"no free port"};
}

inline int ConnectTo(const At& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = RawAddress(at);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// ---- An HTTP server: one call at a time on a connection ----

struct Call {
  std::string method, path, body;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
};

struct Reply {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

class HttpServer {
 public:
  using Handler = std::function<Reply(const Call&)>;

  void Start(const At& at, Handler handler) {
    at_ = at;
    handler_ = std::move(handler);
    listener_ = ListenAt(at);
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  const At& at() const { return at_; }

 private:
  void Serve(int fd) {
    std::string in;
    Call call;
    while (ReadCall(fd, in, call)) {
      const Reply reply = handler_(call);
      std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\n";
      for (const auto& [name, value] : reply.headers) out += name + ": " + value + "\r\n";
      if (reply.status != 204) out += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
      if (!SendAll(fd, out + "\r\n" + reply.body)) break;
    }
    ::close(fd);
  }

  static bool More(int fd, std::string& in) {
    char bytes[65536];
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    in.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  static bool ReadCall(int fd, std::string& in, Call& call) {
    std::size_t end = 0;
    while ((end = in.find("\r\n\r\n")) == std::string::npos)
      if (!More(fd, in)) return false;
    call = Call();
    std::istringstream head(in.substr(0, end));
    std::string line;
    head >> call.method >> call.path;
    std::getline(head, line);
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      call.headers[name] = line.substr(value);
    }
    const std::size_t size = std::strtoul(call.Header("content-length").c_str(), nullptr, 10);
    in.erase(0, end + 4);
    while (in.size() < size)
      if (!More(fd, in)) return false;
    call.body = in.substr(0, size);
    in.erase(0, size);
    return true;
  }

  At at_;
  Handler handler_;
  int listener_ = -1;
};

// ---- A database ----

// How long a statement runs: `/*ms=300*/` in it, else 20 ms. Its result is one row with the client's id.
inline double RunTimeOf(const std::string& statement) {
  const std::size_t at = statement.find("ms=");
  return at == std::string::npos ? 0.020 : std::strtod(statement.c_str() + at + 3, nullptr) / 1000;
}

struct Started {
  double at = 0;
  double ended_at = 0;  // 0: it runs
  std::string id, statement, request_class;
};

class Database {
 public:
  std::string name;

  void Start(const std::string& database_name, const At& at) {
    name = database_name;
    server_.Start(at, [this](const Call& call) { return Handle(call); });
    std::thread([this] { EndQueries(); }).detach();
  }
  const At& at() const { return server_.at(); }
  std::vector<Started> started() const {
    const std::lock_guard lock(mutex_);
    return started_;
  }

 private:
  struct Query {
    Clock::time_point ends, asked;
    bool over = false;
    std::size_t number = 0;  // into started_
  };

  Reply Handle(const Call& call) {
    if (call.path == "/healthz" || call.path == "/stats") return {};
    if (call.method == "POST") return Submit(call);
    const std::string rest = call.path.substr(std::min(call.path.size(), std::size_t{6}));
    const std::string id = rest.substr(0, rest.find('/'));
    if (call.method == "DELETE") {
      Delete(id);
      return {204, {}, {}};
    }
    if (call.method == "PUT") return {204, {}, {}};
    return News(id);
  }

  Reply Submit(const Call& call) {
    const std::string id = call.Header("x-txn");
    {
      const std::lock_guard lock(mutex_);
      Query query;
      const auto run = std::chrono::duration<double>(RunTimeOf(call.body));
      query.ends = Clock::now() + std::chrono::duration_cast<Clock::duration>(run);
      query.asked = Clock::now();
      query.number = started_.size();
      started_.push_back({Seconds(), 0, id, call.body, call.Header("x-lane")});
      queries_[id] = query;
    }
    Record("database %s: started %s of class %s: %s", name.c_str(), id.c_str(), call.Header("x-lane").c_str(),
           call.body.substr(0, 60).c_str());
    return News(id);
  }

  Reply News(const std::string& id) {
    std::unique_lock lock(mutex_);
    const auto until = Clock::now() + 250ms;
    for (;;) {
      const auto it = queries_.find(id);
      if (it == queries_.end()) return {500, {}, {}};
      it->second.asked = Clock::now();
      if (it->second.over) break;
      if (Clock::now() >= until) return {202, {}, {}};
      changed_.wait_until(lock, std::min(until, it->second.ends));
    }
    return {200, {{"Chunks", "1"}, {"Elapsed-Work", "20.0"}, {"High-Water", "8"}}, id + "\t1\tok\n"};
  }

  void Delete(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto it = queries_.find(id);
    if (it == queries_.end()) return;
    End(it->second, id, "given up");
    queries_.erase(it);
    changed_.notify_all();
  }

  void End(Query& query, const std::string& id, const char* how) {
    if (query.over) return;
    query.over = true;
    started_[query.number].ended_at = Seconds();
    Record("database %s: %s %s", name.c_str(), how, id.c_str());
  }

  // Ends queries whose time is over, and those that nobody has asked for in 2 s.
  void EndQueries() {
    for (;; std::this_thread::sleep_for(2ms)) {
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      bool any = false;
      for (auto it = queries_.begin(); it != queries_.end();) {
        Query& query = it->second;
        const bool forgotten = !query.over && now - query.asked > 2s;
        if (!query.over && now >= query.ends) {
          End(query, it->first, "finished");
          any = true;
        }
        if (forgotten) End(query, it->first, "abandoned");
        if (forgotten || (query.over && now - query.asked > 10s))
          it = queries_.erase(it);
        else
          ++it;
      }
      if (any) changed_.notify_all();
    }
  }

  HttpServer server_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Query> queries_;
  std::vector<Started> started_;
};

// ---- The control feed: nothing changes after the start ----

class Feed {
 public:
  void Start(const At& at) {
    server_.Start(at, [](const Call& call) {
      const std::size_t wait = call.path.find("wait=");
      const long ms = wait == std::string::npos ? 0 : std::strtol(call.path.c_str() + wait + 5, nullptr, 10);
      std::this_thread::sleep_for(std::chrono::milliseconds(std::min(ms, 5000L)));
      return Reply{200, {}, R"({"n":1,"events":[]})"};
    });
  }
  const At& at() const { return server_.at(); }

 private:
  HttpServer server_;
};

// ---- Clients ----

using FieldList = std::vector<std::pair<std::string, std::string>>;

inline void AppendNumber(std::string& out, std::size_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

inline std::string Frame(int type, std::uint32_t stream, const std::string& payload) {
  std::string out;
  AppendNumber(out, 5 + payload.size(), 4);
  out.push_back(static_cast<char>(type));
  AppendNumber(out, stream, 4);
  return out + payload;
}

inline std::string RequestFrame(std::uint32_t stream, const FieldList& fields, const std::string& body) {
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    AppendNumber(payload, name.size(), 1);
    payload += name;
    AppendNumber(payload, value.size(), 2);
    payload += value;
  }
  return Frame(65, stream, payload + body);
}

inline std::string NewId() {
  static std::atomic<std::uint64_t> next = (static_cast<std::uint64_t>(::getpid()) << 32) | 1;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

struct Answer {
  double at = 0;
  int code = -1;
  std::string body;
};

// One connection. A thread reads the answers.
class Client {
 public:
  explicit Client(std::string client_name) : name(std::move(client_name)) {}
  Client(const Client&) = delete;
  ~Client() {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
    if (reader_.joinable()) reader_.join();
    if (fd_ >= 0) ::close(fd_);
  }

  bool Connect(const At& at) {
    fd_ = ConnectTo(at);
    if (fd_ < 0) return false;
    reader_ = std::thread([this] { ReadFrames(); });
    return true;
  }
  bool Write(const std::string& bytes) { return SendAll(fd_, bytes); }

  // Returns the stream.
  std::uint32_t Request(const FieldList& fields, const std::string& statement) {
    const std::uint32_t stream = ++last_stream_;
    Record("%s: sends request %u: %s", name.c_str(), stream, statement.substr(0, 60).c_str());
    if (!Write(RequestFrame(stream, fields, statement)))
      Record("%s: could not write request %u", name.c_str(), stream);
    return stream;
  }

  // Waits for the answer on a stream, or for the end of the connection.
  std::optional<Answer> Await(std::uint32_t stream, double until) {
    std::unique_lock lock(mutex_);
    for (;;) {
      if (const auto it = answers_.find(stream); it != answers_.end()) return it->second;
      if (closed_at_ || Seconds() >= until) return std::nullopt;
      changed_.wait_for(lock, 5ms);
    }
  }
  bool AwaitReady(double until) {
    Write(Frame(80, 0, std::string(1, '\0')));
    std::unique_lock lock(mutex_);
    while (!ready_code_ && !closed_at_ && Seconds() < until) changed_.wait_for(lock, 5ms);
    return ready_code_ == 0;
  }
  std::optional<double> closed_at() const {
    const std::lock_guard lock(mutex_);
    return closed_at_;
  }
  // Whether the proxy has told, by a type 90, that it takes no new request here.
  bool drained() const {
    const std::lock_guard lock(mutex_);
    return drained_;
  }

  const std::string name;

 private:
  void ReadFrames() {
    std::string in;
    char bytes[65536];
    for (;;) {
      const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
      if (n <= 0) break;
      in.append(bytes, static_cast<std::size_t>(n));
      while (in.size() >= 4) {
        const std::size_t length = Number(in, 0);
        if (in.size() < 4 + length) break;
        Take(static_cast<unsigned char>(in[4]), static_cast<std::uint32_t>(Number(in, 5)),
             in.substr(9, length - 5));
        in.erase(0, 4 + length);
      }
    }
    const std::lock_guard lock(mutex_);
    closed_at_ = Seconds();
    Record("%s: the connection has ended", name.c_str());
    changed_.notify_all();
  }

  void Take(int type, std::uint32_t stream, const std::string& payload) {
    const std::lock_guard lock(mutex_);
    if (type == 81) ready_code_ = payload.empty() ? -1 : payload[0];
    if (type == 90) drained_ = true;
    if (type == 66) {
      Answer answer{Seconds(), payload.empty() ? -1 : payload[0], BodyOf(payload)};
      Record("%s: answer on stream %u: code %d %s", name.c_str(), stream, answer.code,
             answer.body.substr(0, answer.body.find('\n')).c_str());
      if (stream > 0) answers_[stream] = answer;
    }
    changed_.notify_all();
  }

  static std::size_t Number(const std::string& in, std::size_t at) {
    std::size_t value = 0;
    for (std::size_t i = 4; i > 0; --i) value = value << 8 | static_cast<unsigned char>(in[at + i - 1]);
    return value;
  }

  static std::string BodyOf(const std::string& payload) {
    if (payload.size() < 2) return {};
    std::size_t at = 2;
    for (int i = 0; i < static_cast<unsigned char>(payload[1]); ++i) {
      if (at >= payload.size()) return {};
      at += 1 + static_cast<unsigned char>(payload[at]);
      if (at + 2 > payload.size()) return {};
      at += 2 + (static_cast<unsigned char>(payload[at]) | static_cast<unsigned char>(payload[at + 1]) << 8);
    }
    return at <= payload.size() ? payload.substr(at) : std::string();
  }

  int fd_ = -1;
  std::thread reader_;
  std::uint32_t last_stream_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::uint32_t, Answer> answers_;
  std::optional<int> ready_code_;
  std::optional<double> closed_at_;
  bool drained_ = false;
};

// ---- Operators ----

// One call; returns the first line of the answer, or nothing within `timeout` seconds.
inline std::string OperatorCall(const At& at, const std::string& line, double timeout = 1.0) {
  const int fd = ConnectTo(at);
  std::string in;
  if (fd >= 0 && SendAll(fd, line + "\n")) {
    const double until = Seconds() + timeout;
    while (in.find('\n') == std::string::npos && Seconds() < until) {
      pollfd wait{fd, POLLIN, 0};
      if (::poll(&wait, 1, 20) <= 0) continue;
      char bytes[4096];
      const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
      if (n <= 0) break;
      in.append(bytes, static_cast<std::size_t>(n));
    }
  }
  if (fd >= 0) ::close(fd);
  const std::string answer = in.substr(0, in.find('\n'));
  Record("operator: `%s` at %s: %s", line.c_str(), at.text().c_str(), answer.c_str());
  return answer;
}

// ---- The platform ----

// A process of the project. It is ended, by its id, with this object.
class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  ~Process() { Kill(SIGKILL), Wait(); }

  // `inherited` becomes descriptor 3 unless it is negative.
  void Start(const std::string& process_name, const std::string& command,
             const std::map<std::string, std::string>& environment, const std::string& log,
             int inherited = -1) {
    name_ = process_name;
    pid_ = ::fork();
    if (pid_ < 0) throw CannotRun{"fork"};
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      for (const auto& [key, value] : environment) ::setenv(key.c_str(), value.c_str(), 1);
      if (FILE* out = std::fopen(log.c_str(), "a")) {
        ::dup2(::fileno(out), 1);
        ::dup2(::fileno(out), 2);
      }
      if (inherited >= 0) ::dup2(inherited, 3);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    Record("platform: starts %s", name_.c_str());
  }
  void Kill(int signal) {
    if (pid_ <= 0) return;
    if (signal != SIGKILL || !ended_) Record("platform: signal %d to %s", signal, name_.c_str());
    ::kill(pid_, signal);
  }
  // Whether it has ended by itself, or by a signal.
  bool Ended() {
    if (pid_ > 0 && !ended_) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        ended_ = true;
        Record("platform: %s has ended, status %d", name_.c_str(), status);
        pid_ = 0;
      }
    }
    return ended_;
  }
  void Wait() {
    if (pid_ <= 0) return;
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = 0;
    ended_ = true;
  }
  pid_t pid() const { return pid_; }

 private:
  std::string name_;
  pid_t pid_ = 0;
  bool ended_ = false;
};

inline std::string Environment(const char* name, const std::string& otherwise = "") {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

struct Class {
  std::string name;
  double aim_s = 0.6, deadline_s = 3;
  double credit = 1, late_worth = 0.6;
  std::string effect = "pure";
  int threads = 1;
  bool in_order = false;
  double window_s = 20;  // of keyed classes
};

struct Site {
  std::string name = "n1";
  At listen, management, feed;
  int siblings = 1, me = 0;
  int memory_mb = 192, sockets = 1024;
  std::vector<Class> classes;
  std::vector<std::string> tenants = {"acme"};
  std::vector<std::pair<std::string, At>> databases;
  int cores = 8;
  bool may_duplicate = true;
  int max_attempts = 5;
  double order_pause_s = 0.3;
};

// The configuration as the platform writes it (DEPLOY and WIRE pages).
inline std::string ConfigOf(const Site& site) {
  std::ostringstream out;
  const auto ns = [](double seconds) { return std::to_string(static_cast<long long>(seconds * 1e9)); };
  const auto list = [&](const auto& items, auto write) {
    for (std::size_t i = 0; i < items.size(); ++i) {
      if (i > 0) out << ",";
      write(items[i]);
    }
  };
  out << R"({"name":")" << site.name << R"(","listen":")" << site.listen.text() << R"(","management":")"
      << site.management.text() << R"(","seed":"8c1f30d27a5be964","feed":")" << site.feed.text()
      << R"(","limits":{"cores":1.0,"memory_mb":)" << site.memory_mb << R"(,"sockets":)" << site.sockets
      << R"(},"known":{"n":1,"events":[{"n":1,"members":{"revision":1,"complete":true,"members":[)";
  list(site.databases, [&](const auto& database) {
    out << R"({"id":")" << database.first << R"(","host_port":")" << database.second.text()
        << R"(","locality":"dc","flavor":"std","cell":0,"phase":"Ready","size":1,"up_since_ms":0})";
  });
  out << R"(]}}]},"settings":{"siblings":)" << site.siblings << R"(,"me":)" << site.me
      << R"(,"zone":0,"dcs":["dc"],"flavors":["std"],"tickNs":5000000,)"
      << R"("membershipMode":"pushed","requestClasses":[)";
  list(site.classes, [&](const Class& c) {
    out << R"({"name":")" << c.name << R"(","promiseNs":)" << ns(c.aim_s) << R"(,"deadlineNs":)"
        << ns(c.deadline_s) << R"(,"credit":)" << c.credit << R"(,"lateWorth":)" << c.late_worth
        << R"(,"effect":")" << c.effect << R"(","group":"all")";
    if (c.effect == "token") out << R"(,"repeatWindowNs":)" << ns(c.window_s);
    if (c.in_order) out << R"(,"fifoByKey":true)";
    out << "}";
  });
  out << R"(],"tenants":[)";
  list(site.tenants, [&](const std::string& tenant) {
    out << R"({"name":")" << tenant << R"(","portion":)" << 1.0 / static_cast<double>(site.tenants.size())
        << R"(,"quotaPerS":100000})";
  });
  out << R"(],"report":{"fields":[],"source":"none"},"specifics":{"threadsByClass":[)";
  list(site.classes, [&](const Class& c) { out << c.threads; });
  for (const char* key : {"holdsTables", "blockedByLoads"}) {
    out << R"(],")" << key << R"(":[)";
    list(site.classes, [&](const Class&) { out << "false"; });
  }
  out << R"(],"cpuOfKind":[)" << site.cores
      << R"(],"ramOfKindMb":[16384],"maxGrantShare":0.4,"takesGrants":true,)"
      << R"("ranksHeeded":true,"saysCost":true,"memoryShort":"queue","progressNs":0},)"
      << R"("limits":{"cancel":true,"mayDuplicate":)" << (site.may_duplicate ? "true" : "false")
      << R"(,"retryAfter":true,"maxAttempts":)" << site.max_attempts << R"(,"maxOpen":10000,)"
      << R"("maxRetryAfterNs":1000000000,"connectTimeoutNs":250000000,"keepaliveNs":15000000000,)"
      << R"("probing":true},)"
      << R"("guarantees":{"answerSlackNs":20000000,"drainGraceNs":250000000,"coldFrom":0.31,)"
      << R"("warmWithinNs":14000000000,"overloadFactor":4.0,"fallNs":1000000000,"orderPauseNs":)"
      << ns(site.order_pause_s) << "}}}";
  return out.str();
}

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  out << text;
  if (!out.flush()) throw CannotRun{"cannot write " + path};
}

// Set by run.sh: the deploy file's `run` command and a temporary folder.
inline std::string RunCommand() { return Environment("CASE_RUN", "exec build/lemoncroft"); }
inline std::string Folder() { return Environment("CASE_FOLDER", "/tmp"); }
inline bool HasTrouble() { return Environment("TROUBLE", "1") != "0"; }

inline void AwaitReady(const At& at, double within = 10) {
  const double until = Seconds() + within;
  while (Seconds() < until) {
    Client client("front");
    if (client.Connect(at) && client.AwaitReady(std::min(until, Seconds() + 1))) return;
    Sleep(0.05);
  }
  throw CannotRun{"the proxy is not ready"};
}

// Runs a case: its result is the exit code.
inline int Main(const std::function<int()>& run) {
  ::signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(Environment("CASE_RECORD", "record.txt").c_str(), "w");
  int result = kCouldNotRun;
  try {
    result = run();
  } catch (const CannotRun& e) {
    Record("could not run: %s", e.reason.c_str());
    std::printf("could not run: %s\n", e.reason.c_str());
  }
  Record("exit %d", result);
  std::fflush(stdout);
  ::_exit(result);  // the stand-ins' threads end with the process
}

}  // namespace standin
