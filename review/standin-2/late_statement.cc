// review/8: a statement that a cut holds up, and the attempt that follows it.
#include "standin.hh"

using namespace standin;

namespace {

// What lies between the proxy and a database. While it is cut, open connections stay open and silent, new
// ones never come up (the queue of connections is kept full), and what was written arrives once the cut is
// over, as TCP delivers it.
class Network {
 public:
  void Start(const At& at, const At& to) {
    at_ = at;
    to_ = to;
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in raw = RawAddress(at);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0 ||
        ::listen(listener_, 0) != 0)
      throw CannotRun{"cannot listen at " + at.text()};
    std::thread([this] { Accept(); }).detach();
  }
  const At& at() const { return at_; }

  void Cut() {
    cut_ = true;
    Sleep(0.05);  // Accept has seen it
    for (int i = 0; i < 4; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      const sockaddr_in raw = RawAddress(at_);
      (void)!::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
      fillers_.push_back(fd);
    }
    Record("network: the way to the database is cut");
  }
  void Mend() {
    for (const int fd : fillers_) ::close(fd);
    fillers_.clear();
    cut_ = false;
    Record("network: the cut is over");
  }

 private:
  void Accept() {
    for (;;) {
      pollfd wait{listener_, POLLIN, 0};
      if (cut_ || ::poll(&wait, 1, 5) <= 0) {
        if (cut_) Sleep(0.005);
        continue;
      }
      if (cut_) continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { Pass(fd); }).detach();
    }
  }

  void Pass(int from) {
    const int to = ConnectTo(to_);
    char bytes[65536];
    bool from_open = true, to_open = true;
    while (to >= 0 && to_open) {
      if (cut_) {
        Sleep(0.005);
        continue;
      }
      pollfd ends[2] = {{from, static_cast<short>(from_open ? POLLIN : 0), 0}, {to, POLLIN, 0}};
      if (::poll(ends, 2, 5) <= 0 || cut_) continue;
      if (from_open && (ends[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        const ssize_t n = ::recv(from, bytes, sizeof bytes, 0);
        if (n < 0) break;  // a reset takes what wasn't delivered with it
        from_open = n > 0;
        if (n == 0) ::shutdown(to, SHUT_WR);
        if (n > 0) SendAll(to, std::string(bytes, static_cast<std::size_t>(n)));
      }
      if ((ends[1].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        const ssize_t n = ::recv(to, bytes, sizeof bytes, 0);
        to_open = n > 0;
        if (n > 0) SendAll(from, std::string(bytes, static_cast<std::size_t>(n)));
      }
    }
    if (to >= 0) ::close(to);
    ::close(from);
  }

  At at_, to_;
  int listener_ = -1;
  std::atomic<bool> cut_ = false;
  std::vector<int> fillers_;
};

FieldList Fields(const std::string& request_class, int limit_ms) {
  return {{"verb", request_class}, {"txn", NewId()}, {"limit", std::to_string(limit_ms)}, {"team", "acme"}};
}

int Run() {
  static Database databases[6];  // their threads end with the process
  static Network networks[6];
  static Feed feed;
  Site site;
  for (int i = 0; i < 6; ++i) {
    databases[i].Start("e" + std::to_string(i + 1), FreeAddress());
    networks[i].Start(FreeAddress(), databases[i].at());
    site.databases.emplace_back(databases[i].name, networks[i].at());
  }
  feed.Start(FreeAddress());
  site.feed = feed.at();
  site.listen = FreeAddress();
  site.management = FreeAddress();
  site.may_duplicate = false;
  site.max_attempts = 3;
  site.cores = 16;
  site.classes = {{.name = "number-lookup", .aim_s = 1.5, .deadline_s = 7.5},
                  {.name = "porting-report", .aim_s = 8, .deadline_s = 15, .credit = 4, .threads = 4}};
  const std::string config = Folder() + "/config.json";
  WriteFile(config, ConfigOf(site));
  Process proxy;
  proxy.Start("proxy", RunCommand(), {{"PROXY_CONFIG", config}, {"TMPDIR", Folder()}}, Folder() + "/log");
  AwaitReady(site.listen);

  // Connections to both databases come up, and rest.
  Client client("client");
  if (!client.Connect(site.listen)) throw CannotRun{"could not connect"};
  std::vector<std::uint32_t> first;
  for (int i = 0; i < 24; ++i)
    first.push_back(client.Request(Fields("number-lookup", 7500),
                                   "select /*ms=200*/ a, b, c from numbers_" + std::to_string(i) + ".t"));
  for (const auto stream : first) client.Await(stream, Seconds() + 8);
  Sleep(0.3);
  if (HasTrouble()) networks[0].Cut();
  std::vector<std::uint32_t> reports;
  for (int i = 0; i < 12; ++i)
    reports.push_back(client.Request(Fields("porting-report", 15000),
                                     "select /*ms=5500*/ a, b, c from ports_" + std::to_string(i) + ".t"));
  Sleep(6);
  if (HasTrouble()) networks[0].Mend();
  int answered = 0;
  for (const auto stream : reports) answered += client.Await(stream, Seconds() + 16).has_value();
  Sleep(3);

  // Two attempts of a request that are out at one time.
  std::vector<Started> all;
  for (auto& database : databases)
    for (const Started& started : database.started()) all.push_back(started);
  int together = 0;
  for (const Started& a : all)
    for (const Started& b : all) {
      const double a_end = a.ended_at > 0 ? a.ended_at : 1e9;
      if (a.id != b.id || &a == &b || b.at < a.at || b.at >= a_end - 0.05) continue;
      Record("%s: two attempts at one time, from %.3f and from %.3f on; the first ended at %.3f",
             a.id.c_str(), a.at, b.at, a.ended_at);
      ++together;
    }
  Record("%d of %zu reports answered, %d with two attempts out at one time", answered, reports.size(),
         together);
  std::printf("%d of %zu reports answered, %d with two attempts out at one time\n", answered, reports.size(),
              together);
  return together > 0 || proxy.Ended() ? kBroken : kHeld;
}

}  // namespace

int main() { return Main(Run); }
