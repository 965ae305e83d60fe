#include "peer_transport/link.h"

#include <arpa/inet.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <bit>
#include <random>
#include <system_error>

namespace lemoncroft::peer_transport {
namespace {

using namespace std::chrono_literals;
using runtime::Io;
using runtime::Now;
using runtime::Task;
using runtime::Time;

constexpr std::size_t kTurn = 32;  // datagrams read before the others on the loop have their turn
constexpr std::size_t kInMost = 16, kOutMost = 2, kParcelsMost = 16, kCallsMost = 8;
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
Sockets Bind(runtime::Loop& loop, const std::vector<gossip::Endpoint>& listen) {
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

gossip::Record Self(const Terms& terms, std::size_t place) {
  gossip::Record self;
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

runtime::Address ToAddress(const gossip::Endpoint& endpoint) {
  runtime::Address address;
  address.raw.sin_family = AF_INET;
  address.raw.sin_addr.s_addr = htonl(endpoint.host);
  address.raw.sin_port = htons(endpoint.port);
  return address;
}

gossip::Endpoint ToEndpoint(const runtime::Address& address) {
  return {ntohl(address.raw.sin_addr.s_addr), ntohs(address.raw.sin_port)};
}

std::string Text(const gossip::Endpoint& endpoint) { return ToAddress(endpoint).Text(); }

Link::Link(runtime::Loop& loop, const Terms& terms, std::uint64_t seed, Heard heard)
    : loop_(loop),
      fleet_(terms.fleet),
      view_([&] {
        Sockets sockets = Bind(loop, terms.listen);
        datagrams_ = std::move(sockets.datagrams);
        streams_ = std::move(sockets.streams);
        listen_ = terms.listen[sockets.place];
        return gossip::View(terms.view, Self(terms, sockets.place), seed ^ DrawId(), Now());
      }()),
      heard_(std::move(heard)) {}

void Link::Start() {
  loop_.Spawn(Hear());
  loop_.Spawn(Beat());
  loop_.Spawn(Accept());
}

void Link::SetPhase(gossip::Phase phase) {
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
  for (const gossip::Output& output : view_.Take()) {
    if (const auto* event = std::get_if<gossip::Event>(&output)) {
      heard_(*event);
    } else if (const auto* transmit = std::get_if<gossip::Transmit>(&output)) {
      const std::string frame = Encode(fleet_, transmit->datagram);
      const bool sent = datagrams_->Send(frame, ToAddress(transmit->to));
      ++(sent ? figures_.sent : figures_.unsent);
      if (sent) figures_.sent_bytes += frame.size();
    } else if (const auto* exchange = std::get_if<gossip::Exchange>(&output)) {
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
    const auto message = Read(received.bytes, received.whole ? gossip::kDatagramMost : 0);
    if (const auto* good = std::get_if<Message>(&message)) {
      if (const auto* datagram = std::get_if<gossip::Datagram>(good)) {
        const Time begun = Now();
        view_.Receive(begun, *datagram);
        Pump();
        turns_.Add(Now() - begun);
      } else if (const auto* parcel = std::get_if<Parcel>(good);
                 parcel != nullptr && on_parcel && parcel->part != Part::kCall) {
        on_parcel(*parcel);
      } else {
        ++figures_.faults[static_cast<std::size_t>(Fault::kMalformed)];
      }
    }
    if (n % kTurn == 0) co_await loop_.NextTurn();
  }
}

// ---- Streams: frames behind their length, in four bytes, the lowest first ----

Task<bool> ReadFrame(runtime::Socket& socket, std::string& frame, Time deadline) {
  std::string head;
  while (head.size() < 4)
    if (co_await socket.Read(head, 4 - head.size(), deadline) != Io::kOk) co_return false;
  std::size_t size = 0;
  for (std::size_t i = 4; i-- > 0;) size = size << 8 | static_cast<std::uint8_t>(head[i]);
  frame.clear();
  if (size > kStreamMost) {
    frame = head;  // tells it apart from a stream that has ended
    co_return false;
  }
  while (frame.size() < size)
    if (co_await socket.Read(frame, size - frame.size(), deadline) != Io::kOk) co_return false;
  co_return true;
}

Task<bool> WriteFrame(runtime::Socket& socket, std::string_view frame, Time deadline) {
  if (frame.size() > kStreamMost) co_return false;
  std::string bytes;
  for (int shift = 0; shift < 32; shift += 8)
    bytes.push_back(static_cast<char>(frame.size() >> shift & 0xff));
  bytes += frame;
  std::size_t written = 0;
  co_return co_await socket.Write(bytes, written, deadline) == Io::kOk;
}

Task<std::optional<std::string>> Call(runtime::Loop& loop, std::string fleet, runtime::Address to,
                                      std::string bytes, Time deadline,
                                      std::optional<runtime::Address> from) {
  std::unique_ptr<runtime::Socket> socket;
  std::string frame = Encode(fleet, Parcel{gossip::kNobody, Part::kCall, std::move(bytes)});
  bool good_so_far = co_await Connect(loop, to, deadline, nullptr, socket, from) == Io::kOk;
  if (good_so_far) good_so_far = co_await WriteFrame(*socket, frame, deadline);
  if (good_so_far) good_so_far = co_await ReadFrame(*socket, frame, deadline);
  if (!good_so_far) co_return std::nullopt;
  auto message = Decode(fleet, frame, kStreamMost);
  auto* good = std::get_if<Message>(&message);
  auto* parcel = good == nullptr ? nullptr : std::get_if<Parcel>(good);
  if (parcel == nullptr) co_return std::nullopt;
  co_return std::move(parcel->bytes);
}

Task<bool> Link::ReadCounted(runtime::Socket& socket, std::string& frame, Time deadline) {
  const bool whole = co_await ReadFrame(socket, frame, deadline);
  if (!whole && frame.size() == 4) ++figures_.faults[static_cast<std::size_t>(Fault::kTooLong)];
  co_return whole;
}

// ---- Parcels ----

bool Link::SetAttribute(const std::string& key, const std::string& value) {
  const bool fits = view_.SetAttribute(Now(), key, value);
  Pump();
  return fits;
}

void Link::Post(const gossip::Endpoint& to, Part part, std::string bytes) {
  std::string frame = Encode(fleet_, Parcel{view_.roster().self(), part, std::move(bytes)});
  ++figures_.parcels;
  figures_.parcel_bytes += frame.size();
  if (frame.size() <= gossip::kDatagramMost) {
    if (!datagrams_->Send(frame, ToAddress(to))) ++figures_.parcels_lost;
  } else if (parcels_out_ < kParcelsMost) {
    loop_.Spawn(SendParcel(to, std::move(frame)));
  } else {
    ++figures_.parcels_lost;
  }
}

Task<> Link::SendParcel(gossip::Endpoint to, std::string frame) {
  ++parcels_out_;
  const Time deadline = Now() + kStreamPatience;
  std::unique_ptr<runtime::Socket> socket;
  std::string end;
  bool sent =
      co_await Connect(loop_, ToAddress(to), deadline, nullptr, socket, ToAddress(listen_)) == Io::kOk;
  if (sent) sent = co_await WriteFrame(*socket, frame, deadline);
  if (sent)
    co_await socket->Read(end, 1, deadline);  // until it has been read
  else
    ++figures_.parcels_lost;
  --parcels_out_;
}

Task<> Link::AnswerCall(std::unique_ptr<runtime::Socket> socket, std::string bytes) {
  ++calls_;
  std::string answer = co_await on_call(std::move(bytes));
  const std::string frame = Encode(fleet_, Parcel{view_.roster().self(), Part::kCall, std::move(answer)});
  co_await WriteFrame(*socket, frame, Now() + kStreamPatience);
  --calls_;
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
  if (co_await ReadCounted(*socket, frame, deadline)) {
    auto message = Read(frame, kStreamMost);
    auto* good = std::get_if<Message>(&message);
    auto* opening = good == nullptr ? nullptr : std::get_if<gossip::Opening>(good);
    auto* parcel = good == nullptr ? nullptr : std::get_if<Parcel>(good);
    if (opening != nullptr) {
      const std::string answer = Encode(fleet_, view_.Answer(Now(), *opening));
      figures_.exchange_bytes += answer.size();
      Pump();
      if (co_await WriteFrame(*socket, answer, deadline) && co_await ReadCounted(*socket, frame, deadline)) {
        const auto last = Read(frame, kStreamMost);
        const auto* closing = std::get_if<Message>(&last);
        if (closing != nullptr && std::holds_alternative<gossip::Entries>(*closing)) {
          view_.Finish(Now(), std::get<gossip::Entries>(*closing));
          Pump();
        }
      }
    } else if (parcel != nullptr && parcel->part == Part::kCall) {
      if (on_call && calls_ < kCallsMost)
        loop_.Spawn(AnswerCall(std::move(socket), std::move(parcel->bytes)));
    } else if (parcel != nullptr && on_parcel) {
      on_parcel(*parcel);
    }
  }
  --in_;
}

Task<> Link::Exchange(gossip::Endpoint to) {
  ++out_;
  const Time deadline = Now() + kStreamPatience;
  bool done = false;
  std::unique_ptr<runtime::Socket> socket;
  std::string frame;
  bool open =
      co_await Connect(loop_, ToAddress(to), deadline, nullptr, socket, ToAddress(listen_)) == Io::kOk;
  if (open) {
    const std::string opening = Encode(fleet_, view_.Open(Now()));
    figures_.exchange_bytes += opening.size();
    open = co_await WriteFrame(*socket, opening, deadline);
  }
  if (open) open = co_await ReadCounted(*socket, frame, deadline);
  if (open) {
    const auto message = Read(frame, kStreamMost);
    const auto* good = std::get_if<Message>(&message);
    if (good != nullptr && std::holds_alternative<gossip::Entries>(*good)) {
      const std::string closing = Encode(fleet_, view_.Close(Now(), std::get<gossip::Entries>(*good)));
      figures_.exchange_bytes += closing.size();
      Pump();
      done = co_await WriteFrame(*socket, closing, deadline);
      // Until the other has read it: what follows would else be an end with bytes unread.
      if (done) co_await socket->Read(frame, 1, deadline);
    }
  }
  ++(done ? figures_.exchanges : figures_.exchanges_failed);
  --out_;
}

}  // namespace lemoncroft::peer_transport
