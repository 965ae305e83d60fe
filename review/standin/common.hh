// Stand-ins for the review cases: databases, the control feed, clients, operators and the platform.
// They follow PROTOCOL (both pages), DEPLOY and ops/DAYS. Everything is on 127.0.0.1 and on the real clock.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
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
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using namespace std::chrono_literals;

// ---- Time and record ----

inline double NowMs() {  // Unix milliseconds; comparable between processes
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

class Record {
 public:
  void Open(const std::string& path, double zero_ms, bool truncate) {
    fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (truncate ? O_TRUNC : 0), 0644);
    zero_ = zero_ms;
  }
  void operator()(const std::string& text) {
    char head[32];
    std::snprintf(head, sizeof head, "%9.1f ms  ", NowMs() - zero_);
    const std::string line = head + text + "\n";
    if (fd_ >= 0 && ::write(fd_, line.data(), line.size()) < 0) std::perror("record");
  }
  double zero() const { return zero_; }

 private:
  int fd_ = -1;
  double zero_ = 0;
};
inline Record record;

[[noreturn]] inline void CannotRun(const std::string& why) {
  record("cannot run: " + why);
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// ---- Sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}
inline std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int Listen(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = Loopback(port);
  socklen_t size = sizeof at;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd, 256) != 0)
    CannotRun("no free port");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

// A port that is free for TCP and UDP now. Each one is handed out once.
inline int FreePort() {
  static std::vector<int> held;  // TCP sockets without SO_REUSEADDR listeners: kept until ReleasePorts
  for (int i = 0; i < 50; ++i) {
    int port = 0;
    const int tcp = Listen(port);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = Loopback(port);
    const bool ok = ::bind(udp, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    ::close(udp);
    ::close(tcp);
    bool known = false;
    for (int p : held) known = known || p == port;
    if (!ok || known) continue;
    held.push_back(port);
    return port;
  }
  CannotRun("no free port");
}

inline int Connect(int port, int timeout_ms = 1000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in at = Loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// ---- HTTP, the server's side ----

struct Call {
  std::string method, path, body;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string Get(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// Reads one call. False when the peer has ended or reset the connection.
inline bool ReadCall(int fd, std::string& buffer, Call& call) {
  call = {};
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    char part[16384];
    const ssize_t n = ::recv(fd, part, sizeof part, 0);
    if (n <= 0) return false;
    buffer.append(part, static_cast<std::size_t>(n));
  }
  std::istringstream head(buffer.substr(0, end));
  std::string line, version;
  std::getline(head, line);
  std::istringstream(line) >> call.method >> call.path >> version;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon), value = line.substr(colon + 1);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    value.erase(0, value.find_first_not_of(" \t"));
    call.headers[name] = value;
  }
  buffer.erase(0, end + 4);
  const std::size_t length = std::strtoul(call.Get("content-length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    char part[16384];
    const ssize_t n = ::recv(fd, part, sizeof part, 0);
    if (n <= 0) return false;
    buffer.append(part, static_cast<std::size_t>(n));
  }
  call.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline std::string Answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Server {
 public:
  virtual ~Server() = default;
  int port = 0;
  void Start() {
    fd_ = Listen(port);
    StartOn(fd_);
  }
  void StartOn(int fd) {
    fd_ = fd;
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        Accepted(fd);
        std::thread([this, fd] {
          std::string buffer;
          Call call;
          while (ReadCall(fd, buffer, call) && Handle(fd, call)) {
          }
          ::close(fd);
        }).detach();
      }
    }).detach();
  }

 protected:
  virtual void Accepted(int) {}
  virtual bool Handle(int fd, const Call& call) = 0;  // false: close the connection

 private:
  int fd_ = -1;
};

// ---- A database ----

inline std::string RowsOf(const std::string& txn, int rows) {
  std::string body;
  for (int i = 1; i <= rows; ++i)
    body += txn + "\trow" + std::to_string(i) + "\tof" + std::to_string(rows) + "\n";
  return body;
}

class Database : public Server {
 public:
  explicit Database(std::string name) : name_(std::move(name)) {}
  // How long a query runs, in ms, by its class.
  std::function<double(const Call&)> run_ms = [](const Call&) { return 50.0; };
  int rows = 3;
  std::string good_end_fields;  // where answers tell the work and memory that a query needed
  // Called (with the txn) when a statement has come whole, and when its good end is there.
  std::function<void(const std::string&)> on_start, on_end;

 protected:
  struct Query {
    std::string txn, lane;
    double ends_at = 0;
    bool told_end = false, given_up = false;
  };

  bool Handle(int fd, const Call& call) override {
    if (call.path == "/healthz" || call.path == "/stats") return WriteAll(fd, Answer(200, "", ""));
    if (call.method == "POST") {
      const std::string txn = call.Get("x-txn");
      {
        std::lock_guard lock(mutex_);
        queries_[txn] = {txn, call.Get("x-lane"), NowMs() + run_ms(call)};
      }
      record("run       " + name_ + " starts txn=" + txn + " lane=" + call.Get("x-lane") +
             (call.Get("x-dedupe").empty() ? "" : " dedupe=" + call.Get("x-dedupe")));
      if (on_start) on_start(txn);
      return News(fd, txn);
    }
    const std::string prefix = "/v2/q/";
    if (call.path.rfind(prefix, 0) != 0) return WriteAll(fd, Answer(500, "", ""));
    const std::string rest = call.path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string txn = rest.substr(0, slash);
    if (call.method == "GET" && slash != std::string::npos && rest.substr(slash) == "/0") return News(fd, txn);
    if (call.method == "DELETE") {
      {
        std::lock_guard lock(mutex_);
        if (queries_.erase(txn) > 0) record("run       " + name_ + " gives up txn=" + txn);
      }
      return WriteAll(fd, Answer(204, "", ""));
    }
    if (call.method == "PUT") return WriteAll(fd, Answer(204, "", ""));
    return WriteAll(fd, Answer(500, "", ""));
  }

  bool News(int fd, const std::string& txn) {
    const double until = NowMs() + 250;
    for (;;) {
      bool done = false, first = false;
      {
        std::lock_guard lock(mutex_);
        const auto it = queries_.find(txn);
        if (it == queries_.end()) return WriteAll(fd, Answer(500, "", ""));
        done = NowMs() >= it->second.ends_at;
        if (done) first = !std::exchange(it->second.told_end, true);
      }
      if (done) {
        if (first) {
          record("run       " + name_ + " ends txn=" + txn);
          if (on_end) on_end(txn);
        }
        return GoodEnd(fd, txn);
      }
      if (NowMs() >= until) return WriteAll(fd, Answer(202, "", ""));
      SleepMs(2);
    }
  }

  virtual bool GoodEnd(int fd, const std::string& txn) {
    return WriteAll(fd, Answer(200, std::string("Chunks: 1\r\n") + good_end_fields, RowsOf(txn, rows)));
  }

  std::string name_;
  std::mutex mutex_;
  std::map<std::string, Query> queries_;
};

// ---- The control feed ----

class Feed : public Server {
 public:
  // Adds an event; returns its number. `members` is the text of the list, without brackets.
  int Publish(const std::string& members, bool complete) {
    std::lock_guard lock(mutex_);
    const int n = static_cast<int>(events_.size()) + 1;
    events_.push_back("{\"n\":" + std::to_string(n) + ",\"members\":{\"revision\":" + std::to_string(n) +
                      ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + members + "]}}");
    return n;
  }
  std::string After(int last) {
    std::lock_guard lock(mutex_);
    std::string events;
    for (std::size_t i = static_cast<std::size_t>(std::max(0, last)); i < events_.size(); ++i)
      events += (events.empty() ? "" : ",") + events_[i];
    return "{\"n\":" + std::to_string(events_.size()) + ",\"events\":[" + events + "]}";
  }

 protected:
  bool Handle(int fd, const Call& call) override {
    const auto number = [&](const char* key, int absent) {
      const std::size_t at = call.path.find(key);
      return at == std::string::npos ? absent : std::atoi(call.path.c_str() + at + std::strlen(key));
    };
    const int last = number("SUB=", 0);
    const double until = NowMs() + std::min(5000, number("wait=", 0));
    for (;;) {
      {
        std::lock_guard lock(mutex_);
        if (static_cast<int>(events_.size()) > last) break;
      }
      if (NowMs() >= until) break;
      SleepMs(2);
    }
    return WriteAll(fd, Answer(200, "", After(last)));
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> events_;
};

inline std::string Member(const std::string& id, int port, const std::string& phase = "Ready",
                          const std::string& flavor = "std", const std::string& locality = "dc") {
  return "{\"id\":\"" + id + "\",\"host_port\":\"" + At(port) + "\",\"locality\":\"" + locality +
         "\",\"flavor\":\"" + flavor + "\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1,\"up_since_ms\":0}";
}

// ---- A client ----

struct ClientAnswer {
  int code = -1;  // -1: the connection ended without one
  std::string body;
  double at = 0;
};

class Client {
 public:
  bool Open(int port) {
    fd_ = Connect(port);
    if (fd_ < 0) return false;
    reader_ = std::thread([this] { Read(); });
    return true;
  }
  ~Client() {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
    if (reader_.joinable()) reader_.join();
    if (fd_ >= 0) ::close(fd_);
  }
  // Sends a request; returns its stream.
  std::uint32_t Send(const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body) {
    const std::uint32_t stream = ++last_stream_;
    std::string payload(1, static_cast<char>(fields.size()));
    for (const auto& [name, value] : fields) {
      payload.push_back(static_cast<char>(name.size()));
      payload += name;
      payload.push_back(static_cast<char>(value.size() & 0xff));
      payload.push_back(static_cast<char>(value.size() >> 8));
      payload += value;
    }
    Frame(65, stream, payload + body);
    return stream;
  }
  // Asks whether the proxy is ready; waits for the answer.
  bool Ready(int timeout_ms = 1000) {
    const std::uint32_t stream = ++last_stream_;
    Frame(80, stream, std::string(1, '\0'));
    const auto answer = Wait(stream, timeout_ms);
    return answer && answer->code == 0;
  }
  std::optional<ClientAnswer> Wait(std::uint32_t stream, double timeout_ms) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::duration<double, std::milli>(timeout_ms),
                      [&] { return answers_.count(stream) > 0 || ended_; });
    const auto it = answers_.find(stream);
    if (it == answers_.end()) return std::nullopt;
    return it->second;
  }
  bool WaitDrain(double timeout_ms) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::duration<double, std::milli>(timeout_ms),
                             [&] { return drain_ || ended_; }) &&
           drain_;
  }
  bool ended() {
    std::lock_guard lock(mutex_);
    return ended_;
  }

 private:
  void Frame(int type, std::uint32_t stream, const std::string& payload) {
    std::string out;
    const std::uint32_t length = static_cast<std::uint32_t>(5 + payload.size());
    for (int i = 0; i < 4; ++i) out.push_back(static_cast<char>(length >> (8 * i)));
    out.push_back(static_cast<char>(type));
    for (int i = 0; i < 4; ++i) out.push_back(static_cast<char>(stream >> (8 * i)));
    WriteAll(fd_, out + payload);
  }
  void Read() {
    std::string in;
    char part[16384];
    for (;;) {
      const ssize_t n = ::recv(fd_, part, sizeof part, 0);
      if (n <= 0) break;
      in.append(part, static_cast<std::size_t>(n));
      const auto u32 = [&](std::size_t at) {
        std::uint32_t v = 0;
        for (int i = 3; i >= 0; --i) v = v << 8 | static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]);
        return v;
      };
      while (in.size() >= 4 && in.size() >= 4 + u32(0)) {
        const std::uint32_t length = u32(0), stream = u32(5);
        const int type = static_cast<unsigned char>(in[4]);
        const std::string payload = in.substr(9, length - 5);
        std::lock_guard lock(mutex_);
        if (type == 90) drain_ = true;
        if ((type == 66 || type == 81) && payload.size() >= 2) {
          std::size_t at = 2;
          for (int i = 0; i < static_cast<unsigned char>(payload[1]); ++i) {
            at += 1 + static_cast<unsigned char>(payload[at]);
            at += 2 + static_cast<unsigned char>(payload[at]) + 256 * static_cast<unsigned char>(payload[at + 1]);
          }
          answers_[stream] = {static_cast<unsigned char>(payload[0]), payload.substr(at), NowMs()};
        }
        in.erase(0, 4 + length);
      }
      changed_.notify_all();
    }
    std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }

  int fd_ = -1;
  std::thread reader_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::uint32_t, ClientAnswer> answers_;
  bool drain_ = false, ended_ = false;
  std::uint32_t last_stream_ = 0;
};

inline std::string Txn() {
  static std::atomic<std::uint64_t> next{(static_cast<std::uint64_t>(::getpid()) << 32) ^ 0x5a00000000000000ull};
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++next));
  return text;
}

// ---- The platform ----

// An operator's call: one line on a connection; the answer's first line. Empty: none within a second.
inline std::string Operate(int port, const std::string& line) {
  const int fd = Connect(port);
  if (fd < 0) return "";
  WriteAll(fd, line + "\n");
  std::string in;
  pollfd waits{fd, POLLIN, 0};
  const double until = NowMs() + 1000;
  while (in.find('\n') == std::string::npos && NowMs() < until) {
    if (::poll(&waits, 1, static_cast<int>(std::max(1.0, until - NowMs()))) <= 0) break;
    char part[4096];
    const ssize_t n = ::recv(fd, part, sizeof part, 0);
    if (n <= 0) break;
    in.append(part, static_cast<std::size_t>(n));
  }
  ::close(fd);
  return in.substr(0, in.find('\n'));
}

// The value of a line `KEY = "VALUE"` of the deploy file.
inline std::string DeployCommand(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const std::size_t from = line.find('"') + 1;
    return line.substr(from, line.rfind('"') - from);
  }
  CannotRun("deploy/balancer.toml has no " + key);
}

// The processes that the case started. All end with it.
inline std::vector<pid_t> children;

// Starts `/bin/sh -c COMMAND` with the listening socket (if any) as descriptor 3.
inline pid_t Start(const std::string& command, const std::map<std::string, std::string>& environment,
                   const std::string& log, int descriptor3 = -1) {
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) CannotRun("fork");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    const int null = ::open("/dev/null", O_RDONLY);
    ::dup2(null, 0);
    if (descriptor3 >= 0) {
      if (descriptor3 == 3) ::fcntl(3, F_SETFD, 0);
      else ::dup2(descriptor3, 3);
    }
    for (const char* name : {"PROXY_FD", "PROXY_NAME", "PROXY_LISTEN", "PROXY_CONFIG", "PROXY_MANAGEMENT", "TMPDIR"})
      ::unsetenv(name);
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  children.push_back(pid);
  return pid;
}

inline bool Ended(pid_t pid) {
  int status = 0;
  const pid_t got = ::waitpid(pid, &status, WNOHANG);
  return got == pid || (got < 0 && errno == ECHILD);
}

inline bool WaitEnded(pid_t pid, double timeout_ms) {
  for (const double until = NowMs() + timeout_ms; NowMs() < until; SleepMs(5))
    if (Ended(pid)) return true;
  return Ended(pid);
}

inline void EndAll() {
  for (const pid_t pid : children)
    if (!Ended(pid)) ::kill(pid, SIGKILL);
  for (const pid_t pid : children) WaitEnded(pid, 2000);
}

inline void WaitFor(const std::string& what, double timeout_ms, const std::function<bool()>& holds) {
  for (const double until = NowMs() + timeout_ms; NowMs() < until; SleepMs(10))
    if (holds()) return;
  EndAll();
  CannotRun(what);
}

inline void WriteFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Ends the case: 1 if the rule was broken.
[[noreturn]] inline void Finish(const std::vector<std::string>& breaks) {
  EndAll();
  for (const std::string& text : breaks) record("BROKEN    " + text);
  record(breaks.empty() ? "result    0, the rule held" : "result    1, the rule was broken");
  std::printf("%s\n", breaks.empty() ? "held" : breaks.front().c_str());
  std::fflush(stdout);
  ::_exit(breaks.empty() ? 0 : 1);
}

}  // namespace standin
