// The network between the proxies of a trial. Proxy M binds 127.0.1.M and advertises 127.0.2.M, where this
// relay listens. The relay identifies a sender N by its address and forwards from 127.0.2.N, over a
// simulated link for each direction. The program under test needs no changes.
//
// Owned by the TrialRunner, on its loop. Cuts apply to streams as well as to datagrams: the data of a
// stream on a cut link arrives late or never. The constructor throws std::system_error if an address
// cannot be bound.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_RELAY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_RELAY_H_

#include <memory>
#include <string>
#include <vector>

#include "runtime/datagram.h"
#include "runtime/socket.h"
#include "testing/simulation/links.h"

namespace lemoncroft::fault_test {

class Relay {
 public:
  // Binds the ports `port` and `port` + 1 of each of the machines 1 to `machines`. `links` must outlive
  // this.
  Relay(runtime::Loop& loop, simulation::Links& links, std::size_t machines, std::uint16_t port);
  void Start();

  static std::string BindHost(std::size_t machine);
  static std::string AdvertisedHost(std::size_t machine);

 private:
  // One of the two advertised addresses of a machine, `index` 0 or 1.
  struct MachineAddress {
    std::size_t machine = 0;
    int index = 0;
    std::unique_ptr<runtime::DatagramSocket> datagrams;
    std::unique_ptr<runtime::Listener> streams;
  };
  struct Sender {
    std::size_t machine = 0;  // 0: not a proxy
    int index = 0;
  };

  MachineAddress& AddressOf(const Sender& sender);
  // Returns the address that is bound by the proxy which advertises `advertised`.
  runtime::Address BoundAddress(const MachineAddress& advertised) const;
  Sender SenderAt(const runtime::Address& address) const;
  bool IsOpen(std::size_t from, std::size_t to) const;
  bool IsOpenBothWays(std::size_t a, std::size_t b) const { return IsOpen(a, b) && IsOpen(b, a); }
  // Returns the time that the link needs to transfer `bytes` bytes of a stream.
  runtime::Duration TransferTime(std::size_t from, std::size_t to, std::size_t bytes) const;

  runtime::Task<> ForwardDatagrams(const MachineAddress& to);
  runtime::Task<> DeliverDatagram(runtime::Time at, Sender from, const MachineAddress& to, std::string bytes);
  runtime::Task<> ForwardStream(std::unique_ptr<runtime::Socket> socket, const MachineAddress& to);
  runtime::Task<> CopyStream(std::shared_ptr<runtime::Socket> in, std::shared_ptr<runtime::Socket> out,
                             std::size_t from, std::size_t to);

  runtime::Loop& loop_;
  simulation::Links& links_;
  std::size_t machines_;
  std::uint16_t port_;
  runtime::Time start_ = runtime::Now();  // the zero point of the links' time
  std::vector<std::unique_ptr<MachineAddress>> addresses_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_RELAY_H_
