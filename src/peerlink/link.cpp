#include "peerlink/link.h"

#include <arpa/inet.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <bit>
#include <random>
#include <system_error>

namespace lemoncroft::peerlink {
namespace {

using namespace std::chrono_literals;
using runtime::Io;
using runtime::Now;
using runtime::Task;
using runtime::Time;

constexpr std::size_t kTurn = 32;  // datagrams read before the others on the loop have their turn
constexpr std::size_t kInMost = 4, kOutMost = 2;
constexpr auto kStreamPatience = 2000ms;  // for a whole exchange
constexpr auto kPause = 10ms;             // after a connection that there was no descriptor for
constexpr int kFarewellBeats = 2;         // gossip beats that a leave is given

// A new one with each start, whatever the configuration's seed is: ids must never come again.
std::uint64_t DrawId() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

struct Sockets {
  std::unique_ptr<runtime::DatagramSocket> datagrams;
  std::unique_ptr<runtime::Listener> streams;
  std::size_t place = 0;
};

// The first address of which both can be had: another process of this proxy may hold one still.
Sockets Bind(runtime::Loop& loop, const std::vector<peers::Endpoint>& listen) {
  for (std::size_t i = 0;; ++i) {
    try {
      const runtime::Address address = ToAddress(listen.at(i));
      return {std::make_unique<runtime::DatagramSocket>(loop, address),
              std::make_unique<runtime::Listener>(loop, address), i};
    } catch (const std::system_error& e) {
      if (i + 1 == listen.size())
        throw std::system_error(e.code(), "fleet: cannot listen on " + Text(listen[i]));
    }
  }
}

peers::Record Self(const Terms& terms, std::size_t place) {
  peers::Record self;
  self.id = DrawId();
  self.name = terms.name;
  self.zone = terms.zone;
  self.address = terms.advertise.at(place);
  return self;
}

}  // namespace

void TurnTimes::Add(runtime::Span turn) {
  const auto us =
      static_cast<std::uint64_t>(std::max<runtime::Span::rep>(0, turn / std::chrono::microseconds(1)));
  ++buckets_[std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(us)), buckets_.size() - 1)];
  ++all_;
}

std::uint64_t TurnTimes::Percentile(double part) const {
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    seen += buckets_[i];
    if (static_cast<double>(seen) >= part * static_cast<double>(all_)) return std::uint64_t{1} << i;
  }
  return 0;
}

runtime::Address ToAddress(const peers::Endpoint& endpoint) {
  runtime::Address address;
  address.raw.sin_family = AF_INET;
  address.raw.sin_addr.s_addr = htonl(endpoint.host);
  address.raw.sin_port = htons(endpoint.port);
  return address;
}

peers::Endpoint ToEndpoint(const runtime::Address& address) {
  return {ntohl(address.raw.sin_addr.s_addr), ntohs(address.raw.sin_port)};
}

std::string Text(const peers::Endpoint& endpoint) { return ToAddress(endpoint).Text(); }

Link::Link(runtime::Loop& loop, const Terms& terms, std::uint64_t seed, Heard heard)
    : loop_(loop),
      fleet_(terms.fleet),
      view_([&] {
        Sockets sockets = Bind(loop, terms.listen);
        datagrams_ = std::move(sockets.datagrams);
        streams_ = std::move(sockets.streams);
        listen_ = terms.listen[sockets.place];
        return peers::View(terms.view, Self(terms, sockets.place), seed ^ DrawId(), Now());
      }()),
      heard_(std::move(heard)) {}

void Link::Start() {
  loop_.Spawn(Hear());
  loop_.Spawn(Beat());
  loop_.Spawn(Accept());
}

void Link::SetPhase(peers::Phase phase) {
  view_.SetPhase(Now(), phase);
  Pump();
}

Task<> Link::Leave() {
  view_.Leave(Now());
  Pump();
  for (int i = 0; i < kFarewellBeats; ++i) {
    co_await loop_.Sleep(50ms);
    view_.Step(Now());
    Pump();
  }
}

void Link::Pump() {
  for (const peers::Output& output : view_.Take()) {
    if (const auto* event = std::get_if<peers::Event>(&output)) {
      heard_(*event);
    } else if (const auto* transmit = std::get_if<peers::Transmit>(&output)) {
      const std::string frame = Encode(fleet_, transmit->datagram);
      const bool sent = datagrams_->Send(frame, ToAddress(transmit->to));
      ++(sent ? figures_.sent : figures_.unsent);
      if (sent) figures_.sent_bytes += frame.size();
    } else if (const auto* exchange = std::get_if<peers::Exchange>(&output)) {
      if (out_ < kOutMost) loop_.Spawn(Exchange(exchange->to));
    }
  }
  if (view_.due() < planned_) sooner_.Open();
}

Task<> Link::Beat() {
  for (;;) {
    planned_ = view_.due();
    if (planned_ > Now()) co_await runtime::Waiter(loop_, &sooner_, planned_);
    planned_ = runtime::kNever;
    const Time now = Now();
    if (view_.due() > now) continue;
    view_.Step(now);
    Pump();
    turns_.Add(Now() - now);
    co_await loop_.NextTurn();
  }
}

std::variant<Message, Fault> Link::Read(std::string_view frame, std::size_t most) {
  auto message = Decode(fleet_, frame, most);
  if (const auto* fault = std::get_if<Fault>(&message)) ++figures_.faults[static_cast<std::size_t>(*fault)];
  return message;
}

Task<> Link::Hear() {
  for (std::size_t n = 1;; ++n) {
    const runtime::DatagramSocket::Received received = co_await datagrams_->Receive();
    if (received.io != Io::kOk) co_return;
    ++figures_.received;
    const auto message = Read(received.bytes, received.whole ? peers::kDatagramMost : 0);
    if (const auto* good = std::get_if<Message>(&message)) {
      if (const auto* datagram = std::get_if<peers::Datagram>(good)) {
        const Time begun = Now();
        view_.Receive(begun, *datagram);
        Pump();
        turns_.Add(Now() - begun);
      } else {
        ++figures_.faults[static_cast<std::size_t>(Fault::kMalformed)];
      }
    }
    if (n % kTurn == 0) co_await loop_.NextTurn();
  }
}

// ---- Exchanges: frames behind their length, in four bytes, the lowest first ----

Task<bool> Link::ReadFrame(runtime::Socket& socket, std::string& frame, Time deadline) {
  std::string head;
  while (head.size() < 4)
    if (co_await socket.Read(head, 4 - head.size(), deadline) != Io::kOk) co_return false;
  std::size_t size = 0;
  for (std::size_t i = 4; i-- > 0;) size = size << 8 | static_cast<std::uint8_t>(head[i]);
  if (size > kStreamMost) {
    ++figures_.faults[static_cast<std::size_t>(Fault::kTooLong)];
    co_return false;
  }
  frame.clear();
  while (frame.size() < size)
    if (co_await socket.Read(frame, size - frame.size(), deadline) != Io::kOk) co_return false;
  co_return true;
}

Task<bool> Link::WriteFrame(runtime::Socket& socket, const Message& message, Time deadline) {
  const std::string frame = Encode(fleet_, message);
  if (frame.size() > kStreamMost) co_return false;
  std::string bytes;
  for (int shift = 0; shift < 32; shift += 8)
    bytes.push_back(static_cast<char>(frame.size() >> shift & 0xff));
  bytes += frame;
  std::size_t written = 0;
  co_return co_await socket.Write(bytes, written, deadline) == Io::kOk;
}

Task<> Link::Accept() {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    const Io io = co_await streams_->Accept(socket);
    if (io == Io::kCancelled) co_return;
    if (io != Io::kOk) {
      co_await loop_.Sleep(kPause);
      continue;
    }
    if (in_ < kInMost) loop_.Spawn(Serve(std::move(socket)));
    co_await loop_.NextTurn();
  }
}

Task<> Link::Serve(std::unique_ptr<runtime::Socket> socket) {
  ++in_;
  const Time deadline = Now() + kStreamPatience;
  std::string frame;
  if (co_await ReadFrame(*socket, frame, deadline)) {
    const auto message = Read(frame, kStreamMost);
    const auto* good = std::get_if<Message>(&message);
    const auto* opening = good == nullptr ? nullptr : std::get_if<peers::Opening>(good);
    if (opening != nullptr) {
      const peers::Entries answer = view_.Answer(Now(), *opening);
      Pump();
      if (co_await WriteFrame(*socket, answer, deadline) && co_await ReadFrame(*socket, frame, deadline)) {
        const auto last = Read(frame, kStreamMost);
        const auto* closing = std::get_if<Message>(&last);
        if (closing != nullptr && std::holds_alternative<peers::Entries>(*closing)) {
          view_.Finish(Now(), std::get<peers::Entries>(*closing));
          Pump();
        }
      }
    }
  }
  --in_;
}

Task<> Link::Exchange(peers::Endpoint to) {
  ++out_;
  const Time deadline = Now() + kStreamPatience;
  bool done = false;
  std::unique_ptr<runtime::Socket> socket;
  std::string frame;
  if (co_await Connect(loop_, ToAddress(to), deadline, nullptr, socket, ToAddress(listen_)) == Io::kOk &&
      co_await WriteFrame(*socket, view_.Open(Now()), deadline) &&
      co_await ReadFrame(*socket, frame, deadline)) {
    const auto message = Read(frame, kStreamMost);
    const auto* good = std::get_if<Message>(&message);
    if (good != nullptr && std::holds_alternative<peers::Entries>(*good)) {
      const peers::Entries closing = view_.Close(Now(), std::get<peers::Entries>(*good));
      Pump();
      done = co_await WriteFrame(*socket, closing, deadline);
      // Until the other has read it: what follows would else be an end with bytes unread.
      if (done) co_await socket->Read(frame, 1, deadline);
    }
  }
  ++(done ? figures_.exchanges : figures_.exchanges_failed);
  --out_;
}

}  // namespace lemoncroft::peerlink
