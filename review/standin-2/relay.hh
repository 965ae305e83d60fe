// A relay between proxies: proxy i listens at 127.0.71.i and is known to the others as 127.0.72.i, where the
// relay listens, for datagrams and for streams. A cut proxy neither gets nor sends anything through it.
#pragma once

#include "standin.hh"

namespace standin {

class Relay {
 public:
  struct Link {
    At listens, known;  // where the proxy listens, and the address that the others have
    int datagrams = -1, listener = -1;
    std::atomic<bool> cut = false;
  };

  // All links have to be added before Start.
  Link& Add(const At& listens, const At& known) {
    links_.push_back(std::make_unique<Link>());
    links_.back()->listens = listens;
    links_.back()->known = known;
    return *links_.back();
  }

  void Start() {
    for (const auto& link : links_) {
      link->datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      const sockaddr_in raw = RawAddress(link->known);
      if (::bind(link->datagrams, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0)
        throw CannotRun{"the relay cannot bind " + link->known.text()};
      link->listener = ListenAt(link->known);
    }
    for (const auto& link : links_) {
      std::thread([this, to = link.get()] { PassDatagrams(*to); }).detach();
      std::thread([this, to = link.get()] { AcceptStreams(*to); }).detach();
    }
  }

 private:
  // A sender is known by its host.
  Link* FromOf(const sockaddr_in& raw) {
    char host[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &raw.sin_addr, host, sizeof host);
    for (const auto& link : links_)
      if (link->listens.host == host) return link.get();
    return nullptr;
  }

  void PassDatagrams(Link& to) {
    char bytes[65536];
    for (;;) {
      sockaddr_in source{};
      socklen_t size = sizeof source;
      const ssize_t n =
          ::recvfrom(to.datagrams, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&source), &size);
      if (n < 0) continue;
      Link* const from = FromOf(source);
      if (from == nullptr || from->cut || to.cut) continue;
      const sockaddr_in target = RawAddress(to.listens);
      ::sendto(from->datagrams, bytes, static_cast<std::size_t>(n), 0,
               reinterpret_cast<const sockaddr*>(&target), sizeof target);
    }
  }

  void AcceptStreams(Link& to) {
    for (;;) {
      sockaddr_in source{};
      socklen_t size = sizeof source;
      const int fd = ::accept4(to.listener, reinterpret_cast<sockaddr*>(&source), &size, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, &to, fd, source] { PassStream(to, fd, FromOf(source)); }).detach();
    }
  }

  void PassStream(Link& to, int fd, Link* from) {
    const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (from != nullptr) {
      const sockaddr_in own = RawAddress({from->known.host, 0});
      const sockaddr_in target = RawAddress(to.listens);
      if (::bind(out, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0 &&
          ::connect(out, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
        Pump(to, *from, fd, out);
    }
    ::close(out);
    ::close(fd);
  }

  static void Pump(const Link& to, const Link& from, int a, int b) {
    char bytes[65536];
    for (;;) {
      pollfd ends[2] = {{a, POLLIN, 0}, {b, POLLIN, 0}};
      if (::poll(ends, 2, 100) < 0) return;
      if (to.cut || from.cut) return;
      for (int i = 0; i < 2; ++i) {
        if ((ends[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
        const ssize_t n = ::recv(i == 0 ? a : b, bytes, sizeof bytes, 0);
        if (n <= 0 || !SendAll(i == 0 ? b : a, std::string(bytes, static_cast<std::size_t>(n)))) return;
      }
    }
  }

  std::vector<std::unique_ptr<Link>> links_;
};

}  // namespace standin
