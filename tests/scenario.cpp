#include "scenario.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "codec/frame.h"
#include "runtime/descriptor.h"

namespace lemoncroft::scenario {
namespace {

using Clock = std::chrono::steady_clock;
using runtime::Descriptor;
using namespace std::chrono_literals;

constexpr auto kPatience = 4000ms;    // for what is expected to come
constexpr auto kResetWithin = 100ms;  // of an end that is no clean one

[[noreturn]] void Wrong(const std::string& what) { throw std::runtime_error(what); }

Words Split(const std::string& line) {
  Words out;
  bool inside = false, any = false, raw = false;
  std::string word;
  const auto end_word = [&] {
    if (any) out.push_back(word);
    word.clear();
    any = false;
  };
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char c = line[i];
    if (c == '\'' && !inside) {
      raw = !raw;
      any = true;
    } else if (raw) {
      word.push_back(c);
    } else if (c == '"') {
      inside = !inside;
      any = true;
    } else if (c == '\\' && i + 1 < line.size()) {
      const char e = line[++i];
      if (e == 'x') {
        word.push_back(static_cast<char>(std::stoi(line.substr(i + 1, 2), nullptr, 16)));
        i += 2;
      } else {
        word.push_back(e == 'n' ? '\n' : e == 't' ? '\t' : e == 'r' ? '\r' : e);
      }
      any = true;
    } else if (c == ' ' && !inside) {
      end_word();
    } else if (c == '#' && !inside && !any) {
      break;
    } else {
      word.push_back(c);
      any = true;
    }
  }
  end_word();
  return out;
}

// NAME=VALUE words; `body` is apart.
struct Named {
  std::vector<std::pair<std::string, std::string>> values;
  std::optional<std::string> body;
  Named(const Words& words, std::size_t from) {
    for (std::size_t i = from; i < words.size(); ++i) {
      const std::size_t eq = words[i].find('=');
      if (eq == std::string::npos) Wrong("not NAME=VALUE: " + words[i]);
      const std::string name = words[i].substr(0, eq), value = words[i].substr(eq + 1);
      if (name == "body")
        body = value;
      else
        values.emplace_back(name, value);
    }
  }
};

void Same(const std::string& what, const std::string& got, const std::string& wanted) {
  if (got != wanted) Wrong(what + ": got '" + got + "', expected '" + wanted + "'");
}

sockaddr_in Loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

struct Listening {
  Descriptor fd;
  int port = 0;
};

Listening Listen() {
  Listening out{Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), 0};
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (::bind(out.fd.get(), raw, size) != 0 || ::listen(out.fd.get(), 64) != 0) Wrong("cannot listen");
  ::getsockname(out.fd.get(), raw, &size);
  out.port = ntohs(address.sin_port);
  return out;
}

// A port for a program to listen on. Below those that the system gives to others: one that it had given to us
// a moment ago may be anybody's by the time the program binds it.
int FreePort() {
  static int next = ::getpid() * 37;
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = 15000 + ++next % 17000;
    const Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = Loopback(port);
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return port;
  }
  Wrong("no port is free");
}

// How parties write: all at once, or in pieces of that size with a pause behind each.
std::size_t piece_size = 0;
constexpr auto kPiecePause = 300us;

bool SendAll(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t left = bytes.size() - at, size = piece_size > 0 ? std::min(left, piece_size) : left;
    const ssize_t n = ::send(fd, bytes.data() + at, size, MSG_NOSIGNAL);
    if (n <= 0) return false;  // the peer has closed: what comes back tells
    at += static_cast<std::size_t>(n);
    if (piece_size > 0) std::this_thread::sleep_for(kPiecePause);
  }
  return true;
}

// Appends what has come on a descriptor that poll has named; false at its end.
bool ReadSome(int fd, std::string& into) {
  char bytes[65536];
  errno = 0;
  const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
  if (n > 0) into.append(bytes, static_cast<std::size_t>(n));
  return n > 0;
}

int Left(Clock::time_point until) {
  return static_cast<int>(
      std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count()));
}

class Client {
 public:
  explicit Client(int port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in to = Loopback(port);
    if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) Wrong("cannot connect");
  }

  void Send(const Words& words) {
    if (words[2] == "bytes") return void(SendAll(fd_.get(), words[3]));
    // A reset is told to whoever sends or reads first.
    if (words[2] == "junk")
      return void(reset_ = !SendAll(fd_.get(), std::string(std::stoul(words[3]), '\xff')));
    if (words[2] == "flood") {
      const auto span = std::chrono::milliseconds(std::stoi(words[3]));
      if (words.size() == 4) return Flood(span);
      beside_ = std::jthread([this, span] {
        try {
          Flood(span);
        } catch (const std::runtime_error&) {  // the program ends with the scenario, before the flood does
        }
      });
      return;
    }
    std::string out;
    if (words[2] == "half") {
      codec::WriteFrame(out, codec::kRequestFrame, 1, std::string(std::stoul(words[3]), 'x'));
      out.pop_back();
      return void(SendAll(fd_.get(), out));
    }
    const auto stream = static_cast<std::uint32_t>(std::stoul(words[3]));
    if (words[2] != "request") {
      const bool ready = words[2] == "ready";
      codec::WriteFrame(out, ready ? codec::kReadinessRequestFrame : codec::kCancelFrame, stream,
                        ready ? std::string_view("\0", 1) : std::string_view());
      return void(SendAll(fd_.get(), out));
    }
    Named named(words, 4);
    std::map<std::string, std::string> fields = {
        {"verb", "lookup"}, {"limit", "2000"}, {"team", "acme"}, {"cpu", "100.0"}, {"heap_mb", "8"}};
    fields["txn"] = std::string(16 - words[3].size(), '0') + words[3];
    for (const auto& [name, value] : named.values) fields[name] = value;
    std::string payload(1, static_cast<char>(fields.size()));
    for (const auto& [name, value] : fields) {
      payload += static_cast<char>(name.size()) + name;
      payload += static_cast<char>(value.size() & 0xff);
      payload += static_cast<char>(value.size() >> 8);
      payload += value;
    }
    codec::WriteFrame(out, codec::kRequestFrame, stream, payload + named.body.value_or("select 1"));
    SendAll(fd_.get(), out);
  }

  void Expect(const Words& words) {
    if (words[2] == "closed") {
      codec::Frame frame;
      if (Next(frame, kPatience)) Wrong("a frame came where the end was expected");
      if (!ended_) Wrong("the connection was not closed");
      return;
    }
    if (words[2] == "end") {  // a clean one: what was sent before it has come whole
      codec::Frame after;
      if (Next(after, kPatience)) Wrong("a frame came where the end was expected");
      if (!ended_) Wrong("the connection has not ended");
      // A reset behind the end shows as an error of the socket alone.
      pollfd p{fd_.get(), 0, 0};
      ::poll(&p, 1, static_cast<int>(kResetWithin.count()));
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
      if (reset_ || error != 0 || (p.revents & POLLERR) != 0) Wrong("the connection was reset");
      return;
    }
    codec::Frame frame;
    if (words[2] == "nothing") {
      if (Next(frame, std::chrono::milliseconds(std::stoi(words[3])))) Wrong("an unexpected frame");
      return;
    }
    Named named(words, words[2] == "answer" ? 5 : words[2] == "drain" ? 3 : 4);
    auto client_timeout = kPatience;
    for (const auto& [name, value] : named.values) {
      if (name == "within") client_timeout = std::chrono::milliseconds(std::stoi(value));
    }
    if (!Next(frame, client_timeout)) Wrong(ended_ ? "the connection was closed" : "nothing came");
    const std::string kind = frame.type == codec::kResponseFrame            ? "answer"
                             : frame.type == codec::kReadinessResponseFrame ? "ready"
                             : frame.type == codec::kWaitNoticeFrame        ? "estimate"
                                                                            : "drain";
    Same("frame", kind, words[2]);
    if (kind == "drain") return;
    const bool answer = kind == "answer";
    if (kind != "ready") Same("stream", std::to_string(frame.stream), words[3]);
    Same("code", std::to_string(static_cast<int>(frame.payload.at(0))),
         kind == "estimate" ? "0" : words[answer ? 4 : 3]);
    const auto fields = codec::ReadFields(frame.payload.substr(1));
    if (!fields) Wrong("an answer that can't be read");
    for (const auto& [name, value] : named.values) {
      const std::string_view told = fields->Get(name);
      if (value == "some" ? told.empty() : name != "within" && told != value)
        Same(name, std::string(told), value);
    }
    if (named.body) Same("body", std::string(fields->body), *named.body);
  }

 private:
  bool Next(codec::Frame& frame, std::chrono::milliseconds wait) {
    reader_.Compact(in_);
    const auto until = Clock::now() + wait;
    while (reader_.Next(in_, frame) != codec::FrameReader::Result::kFrame) {
      pollfd p{fd_.get(), POLLIN, 0};
      if (ended_ || ::poll(&p, 1, Left(until)) <= 0) return false;
      ended_ = !ReadSome(fd_.get(), in_);
      reset_ = reset_ || (ended_ && errno == ECONNRESET);
    }
    return true;
  }

  // Asks whether the proxy is ready, over and over; reads all answers.
  void Flood(std::chrono::milliseconds span) {
    std::string asks, answers;
    for (int i = 0; i < 1000; ++i)
      codec::WriteFrame(asks, codec::kReadinessRequestFrame, 1, std::string_view("\0", 1));
    std::size_t at = 0;
    for (auto until = Clock::now() + span;;) {
      const bool more = Clock::now() < until || at > 0;
      const ssize_t n =
          more ? ::send(fd_.get(), asks.data() + at, asks.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT) : 0;
      if (n > 0) at = (at + static_cast<std::size_t>(n)) % asks.size();
      pollfd p{fd_.get(), POLLIN, 0};
      const bool come = ::poll(&p, 1, n > 0 ? 0 : more ? 1 : 300) > 0;
      if (come && !ReadSome(fd_.get(), answers)) Wrong("cut off");
      if (!come && !more) return;
      answers.clear();
    }
  }

  Descriptor fd_;
  codec::FrameReader reader_;
  std::string in_;
  bool ended_ = false, reset_ = false;
  std::jthread beside_;  // last: it uses the others
};

// An operator at the management address: a connection, a call, an answer.
class Caller {
 public:
  explicit Caller(int port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in to = Loopback(port);
    if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) Wrong("cannot call");
  }
  // `bytes TEXT`, `bytewise TEXT` with a pause behind each byte, or `flood SIZE`, which has no line feed.
  void Send(const Words& words) {
    if (words[2] == "flood") return void(SendAll(fd_.get(), std::string(std::stoul(words.at(3)), 'x')));
    if (words[2] == "bytes") return void(SendAll(fd_.get(), words.at(3)));
    for (const char c : words.at(3)) {
      SendAll(fd_.get(), std::string(1, c));
      std::this_thread::sleep_for(2ms);
    }
  }
  // All that comes until the end.
  std::string Answer(std::chrono::milliseconds wait) {
    std::string in;
    const auto until = Clock::now() + wait;
    for (pollfd p{fd_.get(), POLLIN, 0}; ::poll(&p, 1, Left(until)) > 0;) {
      if (!ReadSome(fd_.get(), in)) return in;
    }
    Wrong("the answer has not ended in time; so far: " + in);
  }

 private:
  Descriptor fd_;
};

// An HTTP server that does as the scenario says: an engine, or the control feed.
class Server {
 public:
  int port() const { return listening_.port; }

  void Expect(const Words& words) {
    if (words[2] == "nothing") {
      if (Await(words[3], "", std::chrono::milliseconds(std::stoi(words[4]))))
        Wrong("an unexpected " + words[3]);
      return;
    }
    Named named(words, 4);
    auto client_timeout = kPatience;
    std::erase_if(named.values, [&](const auto& value) {
      if (value.first == "within") client_timeout = std::chrono::milliseconds(std::stoi(value.second));
      return value.first == "within";
    });
    const auto call = Await(words[2], words.size() > 3 ? words[3] : "", client_timeout);
    if (!call) Wrong("no such call; there are: " + Waiting());
    last_ = call->connection;
    const std::size_t end = call->text.find("\r\n\r\n");
    for (const auto& [name, value] : named.values) {
      const std::size_t at = call->text.find("\r\n" + name + ": ");
      const std::size_t from = at + name.size() + 4;
      const bool there = at < end;
      Same(name, there ? call->text.substr(from, call->text.find("\r\n", from) - from) : "-", value);
    }
    if (named.body) Same("body", call->text.substr(end + 4), *named.body);
  }

  void Send(const Words& words) {
    if (words[2] == "raw") return void(SendAll(connections_.at(last_).fd.get(), words.at(3)));
    Named named(words, 3);
    std::string out = "HTTP/1.1 " + words[2] + " X\r\n";
    for (const auto& [name, value] : named.values) out += name + ": " + value + "\r\n";
    if (words[2] != "204")
      out += "Content-Length: " + std::to_string(named.body.value_or("").size()) + "\r\n";
    SendAll(connections_.at(last_).fd.get(), out + "\r\n" + named.body.value_or(""));
  }

  // With a reset, as when a process dies.
  void Close(const Words& words) {
    const bool all = words[2] == "all";
    for (auto& [number, connection] : connections_) {
      if (!all && number != last_) continue;
      const linger hard{1, 0};
      ::setsockopt(connection.fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      connection.fd = Descriptor();
    }
    std::erase_if(connections_, [](const auto& c) { return !c.second.fd; });
    if (all) listening_.fd = Descriptor();
  }

 private:
  struct Connection {
    Descriptor fd;
    std::string in;
  };
  struct Call {
    int connection = 0;
    std::string text;
  };

  std::optional<Call> Await(const std::string& method, const std::string& path,
                            std::chrono::milliseconds wait) {
    const auto until = Clock::now() + wait;
    const std::string start = method + " " + (path.empty() ? "" : path + " ");
    for (;;) {
      for (auto it = calls_.begin(); it != calls_.end(); ++it) {
        if (!it->text.starts_with(start)) continue;
        const Call call = *it;
        calls_.erase(it);
        return call;
      }
      if (!Pump(until)) return std::nullopt;
    }
  }

  // Accepts and reads; whole calls go to calls_. False once the time is up.
  bool Pump(Clock::time_point until) {
    std::vector<pollfd> polls = {{listening_.fd.get(), POLLIN, 0}};
    std::vector<int> numbers = {-1};
    for (auto& [number, connection] : connections_) {
      polls.push_back({connection.fd.get(), POLLIN, 0});
      numbers.push_back(number);
    }
    if (::poll(polls.data(), polls.size(), Left(until)) <= 0) return false;
    if (polls[0].revents & POLLIN) {
      connections_[next_++].fd = Descriptor(::accept4(listening_.fd.get(), nullptr, nullptr, SOCK_CLOEXEC));
    }
    for (std::size_t i = 1; i < polls.size(); ++i) {
      if (polls[i].revents == 0) continue;
      Connection& c = connections_.at(numbers[i]);
      if (!ReadSome(c.fd.get(), c.in)) {
        connections_.erase(numbers[i]);
        continue;
      }
      const std::size_t end = c.in.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      const std::size_t sized = c.in.find("Content-Length: ");
      const std::size_t body = sized < end ? std::stoul(c.in.substr(sized + 16)) : 0;
      if (c.in.size() < end + 4 + body) continue;
      calls_.push_back({numbers[i], c.in.substr(0, end + 4 + body)});
      c.in.erase(0, end + 4 + body);
    }
    return true;
  }

  std::string Waiting() const {
    std::string out;
    for (const Call& call : calls_) out += call.text.substr(0, call.text.find("\r\n")) + "; ";
    return out;
  }

  Listening listening_ = Listen();
  std::map<int, Connection> connections_;
  std::vector<Call> calls_;
  int next_ = 0, last_ = -1;
};

constexpr const char* kConfig = R"({"name":"n1","listen":"LISTEN","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"management":"MANAGEMENT","feed":"FEED","known":KNOWN,
"settings":{"siblings":1,"me":0,"zone":0,"dcs":["dc"],"flavors":["std"],"tickNs":5000000,
"membershipMode":"pushed","requestClasses":[
{"name":"lookup","promiseNs":600000000,"deadlineNs":3000000000,"credit":1.0,"lateWorth":0.1,
 "effect":"pure","group":"all"},
{"name":"load","promiseNs":3000000000,"deadlineNs":20000000000,"credit":12.0,"lateWorth":0.6,
 "effect":"token","group":"all","repeatWindowNs":20000000000}],
"tenants":[{"name":"acme","portion":1.0,"quotaPerS":1000}],
"report":{"fields":[],"source":"none"},
"specifics":{"threadsByClass":[1,2],"holdsTables":[false,true],"blockedByLoads":[false,false],
"cpuOfKind":[8],"ramOfKindMb":[16384],"maxGrantShare":0.4,"takesGrants":true,"ranksHeeded":true,
"saysCost":true,"memoryShort":"queue","progressNs":0},
"limits":{"cancel":true,"mayDuplicate":true,"retryAfter":true,"maxAttempts":5,"maxOpen":1000,
"maxRetryAfterNs":1000000000,"connectTimeoutNs":250000000,"keepaliveNs":15000000000,"probing":true},
"guarantees":{"answerSlackNs":20000000,"drainGraceNs":250000000,"coldFrom":0.31,
"warmWithinNs":14000000000,"overloadFactor":4.0,"fallNs":1000000000}}})";

class World {
 public:
  ~World() {
    for (const pid_t pid : {pid_, old_pid_}) {
      if (pid <= 0) continue;
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    if (!folder_.empty()) std::system(("rm -rf " + folder_).c_str());
  }

  void Do(const Words& w) {
    const std::string& party = w[0];
    if (party == "wait") return std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(w.at(1))));
    if (party == "crowd") return Crowd(std::stoi(w.at(1)));
    if (party == "pieces") return void(piece_size = std::stoul(w.at(1)));
    if (party == "clock") return w.at(1) == "send" ? void(clock_ = Clock::now()) : ExpectPassed(w.at(2));
    if (party == "engine") return void(servers_.try_emplace(w.at(1)));
    if (party == "config") return void(config_.emplace_back(w.at(1), w.at(2)));
    if (party == "operator") return void(operator_ = w.at(1));
    if (party == "program") return Program(w);
    if (party == "listener") return Hold();
    if (party == "old") return Old(w);
    if (party.starts_with("ops")) return Operate(party, w, manage_);
    if (party.starts_with("oldops")) return Operate(party, w, old_manage_);
    const bool send = w.at(1) == "send", expect = w[1] == "expect", close = w[1] == "close";
    if (!send && !expect && !close) Wrong("unknown verb " + w[1]);
    if (IsParser(party)) {
      if (send) parsed_ = ParsedBy(party, w.at(2));
      if (expect) Same(party, parsed_, w.at(2));
      return;
    }
    if (const auto it = servers_.find(party); it != servers_.end()) {
      Words filled = w;
      for (std::string& word : filled) Fill(word);
      return send ? it->second.Send(filled) : expect ? it->second.Expect(filled) : it->second.Close(filled);
    }
    if (close) return void(clients_.erase(party));
    Client& client = clients_.try_emplace(party, listen_).first->second;
    send ? client.Send(w) : client.Expect(w);
  }

  std::string Log() const { return folder_.empty() ? "" : Read(folder_ + "/log"); }

 private:
  static std::string Read(const std::string& path) {
    std::ostringstream out;
    out << std::ifstream(path).rdbuf();
    return out.str();
  }

  static void Replace(std::string& text, const std::string& what, const std::string& by) {
    for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += by.size()) {
      text.replace(at, what.size(), by);
    }
  }

  void ExpectPassed(const std::string& ms) const {
    if (Clock::now() - clock_ < std::chrono::milliseconds(std::stoi(ms)))
      Wrong("it took less than " + ms + " ms");
  }

  void Fill(std::string& text) const {
    for (const auto& [name, server] : servers_) {
      Replace(text, "{" + name + "}", "127.0.0.1:" + std::to_string(server.port()));
    }
  }

  std::string ConfigText() {
    std::string known;
    for (const auto& [name, server] : servers_) {
      if (name.starts_with("feed")) continue;
      known += std::string(known.empty() ? "" : ",") + R"({"id":")" + name + R"(","host_port":"{)" + name +
               R"(}","locality":"dc","flavor":"std","cell":0,"phase":"Ready","size":1,"up_since_ms":0})";
    }
    Fill(known);
    std::string text = kConfig;
    known =
        R"({"n":1,"events":[{"n":1,"members":{"revision":1,"complete":true,"members":[)" + known + "]}}]}";
    for (const auto& [key, value] : config_) {
      if (key == "known") known = value;
    }
    Replace(text, "KNOWN", known);
    std::string feed = servers_.contains("feed") ? "{feed}" : "";
    Fill(feed);
    Replace(text, "FEED", feed);
    Replace(text, "LISTEN", "127.0.0.1:" + std::to_string(listen_));
    Replace(text, "MANAGEMENT", "127.0.0.1:" + std::to_string(first_manage_));
    for (auto [key, value] : config_) {
      if (key == "known" || key == "cut") continue;
      Fill(value);
      const std::size_t at = text.find("\"" + key + "\":");
      if (at == std::string::npos) Wrong("no such key: " + key);
      const std::size_t from = at + key.size() + 3, end = EndOfValue(text, from);
      if (value == "-")
        text.erase(at, end + (text[end] == ',') - at);
      else
        text.replace(from, end - from, value);
    }
    const auto cut =
        std::find_if(config_.rbegin(), config_.rend(), [](const auto& c) { return c.first == "cut"; });
    if (cut != config_.rend() && cut->second != "-") text.resize(std::stoul(cut->second));
    return text;
  }

  static std::size_t EndOfValue(const std::string& text, std::size_t at) {
    for (int depth = 0; at < text.size(); ++at) {
      const char c = text[at];
      if (depth == 0 && (c == ',' || c == '}' || c == ']' || c == '\n')) break;
      depth += (c == '[' || c == '{') - (c == ']' || c == '}');
    }
    return at;
  }

  void WriteConfig() {
    // Whole or not at all: a process may be reading it.
    std::ofstream(folder_ + "/config.new") << ConfigText();
    ::rename((folder_ + "/config.new").c_str(), (folder_ + "/config.json").c_str());
    std::string text = operator_;
    Replace(text, "{folder}", folder_);
    if (!text.empty()) std::ofstream(folder_ + "/operator.kdl") << text;
  }

  void Launch(Words args) {
    if (folder_.empty()) {
      char name[] = "/tmp/scenario-XXXXXX";
      folder_ = ::mkdtemp(name);
      ::mkdir((folder_ + "/tmp").c_str(), 0700);
      if (!held_.fd) listen_ = FreePort();
      manage_ = first_manage_ = FreePort();
      WriteConfig();
    }
    if (!operator_.empty()) args.insert(args.end(), {"--operator", folder_ + "/operator.kdl"});
    args.insert(args.begin(), LEMONCROFT_PROGRAM);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
    if (held_.fd) {
      ::dup2(held_.fd.get(), 3);
      ::setenv("PROXY_FD", "3", 1);
      ::setenv("PROXY_MANAGEMENT", ("127.0.0.1:" + std::to_string(manage_)).c_str(), 1);
    }
    for (const auto& [name, value] : environment_) ::setenv(name.c_str(), value.c_str(), 1);
    ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
    const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    std::vector<char*> argv;
    for (std::string& arg : args) argv.push_back(arg.data());
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }

  // So many clients that have asked once and rest.
  void Crowd(int size) {
    for (int i = 0; i < size; ++i) {
      Client& one = crowd_.emplace_back(listen_);
      one.Send({"", "send", "ready", "1"});
      one.Expect({"", "expect", "ready", "0"});
    }
  }

  // The platform holds the clients' listening socket: every process inherits it.
  void Hold() {
    held_ = Listen();
    listen_ = held_.port;
    // Never as descriptor 3 here: dup2 onto itself would leave it closed on exec.
    held_.fd = Descriptor(::fcntl(held_.fd.get(), F_DUPFD_CLOEXEC, 100));
  }

  // Starts the program once more while the one that runs serves on.
  void Succeed(const Words& w) {
    old_pid_ = std::exchange(pid_, 0);
    old_manage_ = std::exchange(manage_, FreePort());
    WriteConfig();
    Launch({"serve", "--log-level", "debug"});
    if (w.size() > 2) return;  // before it is ready
    Operate("ops", {"ops", "expect", "readyz", "ACK"}, manage_);
  }

  void Old(const Words& w) {
    std::swap(pid_, old_pid_);
    Program(w);
    std::swap(pid_, old_pid_);
  }

  // `expect CALL BEGINNING [LINE...]` asks until the answer is so; `send` and `expect answer` keep to one
  // connection and are not tried again.
  void Operate(const std::string& party, const Words& w, int port) {
    if (w.at(1) == "close") return void(callers_.erase(party));
    if (w[1] == "send") return callers_.try_emplace(party, port).first->second.Send(w);
    if (w.at(2) == "answer") {
      const std::string got = callers_.at(party).Answer(1000ms);
      callers_.erase(party);
      return Answered(got, w);
    }
    for (const auto until = Clock::now() + kPatience;; std::this_thread::sleep_for(20ms)) {
      try {
        Caller caller(port);
        caller.Send({"", "", "bytes", w[2] + "\n"});
        return Answered(caller.Answer(1000ms), w);
      } catch (const std::runtime_error&) {
        if (Clock::now() > until) throw;
      }
    }
  }

  static void Answered(const std::string& got, const Words& w) {
    if (!got.starts_with(w.at(3))) Wrong("answer: got '" + got + "', expected '" + w[3] + "'");
    for (std::size_t i = 4; i < w.size(); ++i) {
      if (("\n" + got).find("\n" + w[i] + "\n") == std::string::npos) Wrong("'" + got + "' lacks " + w[i]);
    }
  }

  void AwaitReady() {
    for (const auto until = Clock::now() + kPatience;; std::this_thread::sleep_for(10ms)) {
      try {
        Client client(listen_);
        client.Send({"", "send", "ready", "1"});
        client.Expect({"", "expect", "ready", "0"});
        return;
      } catch (const std::runtime_error& e) {
        if (Clock::now() > until) Wrong(std::string("the program did not become ready: ") + e.what());
      }
    }
  }

  // All that the module was told and said, in order, is what a file beside the scenarios has recorded.
  void Traced(const std::string& name) const {
    std::istringstream log(Log());
    std::string traced;
    for (std::string line; std::getline(log, line);) {
      const std::size_t at = line.find(" trace ");
      if (at != std::string::npos) traced += line.substr(at + 7) + "\n";
    }
    Same("trace", traced, Read(std::string(LEMONCROFT_SCENARIOS) + "/" + name));
  }

  // It holds no more than that, of all kinds.
  void ExpectDescriptors(std::size_t most) const {
    std::size_t open = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd"))
      ++open;
    if (open > most) Wrong(std::to_string(open) + " descriptors are open");
  }

  void Program(const Words& w) {
    if (w.at(1) == "descriptors") return ExpectDescriptors(std::stoul(w.at(2)));
    if (w.at(1) == "start") {
      Launch({"serve", "--log-level", w.size() > 2 ? w[2] : "debug"});
      return AwaitReady();
    }
    if (w[1] == "succeed") return Succeed(w);
    if (w[1] == "environment") return void(environment_.emplace_back(w.at(2), w.at(3)));
    if (w[1] == "run") return Launch(Words(w.begin() + 2, w.end()));
    if (w[1] == "beside") {  // while another one runs
      const pid_t running = std::exchange(pid_, 0);
      Launch(Words(w.begin() + 4, w.end()));
      ::waitpid(std::exchange(pid_, running), nullptr, 0);
      if (Log().find(w[2]) == std::string::npos) Wrong("the output lacks '" + w[2] + "'");
      return;
    }
    if (w[1] == "logged") {
      for (const auto until = Clock::now() + kPatience; Log().find(w.at(2)) == std::string::npos;
           std::this_thread::sleep_for(10ms)) {
        if (Clock::now() > until) Wrong("the log lacks '" + w[2] + "'");
      }
      return;
    }
    if (w[1] == "traced") return Traced(w.at(2));
    if (w[1] == "send" && w.at(2) == "HUP") WriteConfig();
    if (w[1] == "send")
      return void(::kill(pid_, w.at(2) == "HUP" ? SIGHUP : w[2] == "KILL" ? SIGKILL : SIGTERM));
    if (w[1] != "expect") Wrong("unknown verb " + w[1]);
    int status = 0;
    const auto until = Clock::now() + kPatience;
    while (::waitpid(pid_, &status, WNOHANG) == 0) {
      if (Clock::now() > until) Wrong("the program has not ended");
      std::this_thread::sleep_for(5ms);
    }
    pid_ = 0;
    Same("exit", WIFEXITED(status) ? std::to_string(WEXITSTATUS(status)) : "signal", w.at(3));
    if (w.size() > 4 && Log().find(w[4]) == std::string::npos) Wrong("the output lacks '" + w[4] + "'");
  }

  std::map<std::string, Server> servers_;
  std::map<std::string, Client> clients_;
  std::list<Client> crowd_;
  std::map<std::string, Caller> callers_;
  Listening held_;  // without a descriptor: the program binds its own
  std::vector<std::pair<std::string, std::string>> environment_;
  std::vector<std::pair<std::string, std::string>> config_;
  std::string folder_, parsed_, operator_;
  Clock::time_point clock_ = Clock::now();
  int listen_ = 0, manage_ = 0, first_manage_ = 0, old_manage_ = 0;
  pid_t pid_ = 0, old_pid_ = 0;
};

}  // namespace

std::vector<Scenario> ReadScenarios(const std::string& path) {
  std::vector<Scenario> out;
  std::ifstream file(path);
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.starts_with("== ")) {
      out.push_back({line.substr(3), {}});
    } else if (Words words = Split(line); !words.empty()) {
      if (out.empty()) Wrong(path + ": a step before the first scenario");
      out.back().steps.push_back({number, std::move(words)});
    }
  }
  return out;
}

void Play(const Scenario& scenario) {
  World world;
  piece_size = 0;
  for (const Step& step : scenario.steps) {
    try {
      world.Do(step.words);
    } catch (const std::exception& e) {
      throw std::runtime_error("line " + std::to_string(step.line) + ": " + e.what() + "\n" + world.Log());
    }
  }
}

}  // namespace lemoncroft::scenario
