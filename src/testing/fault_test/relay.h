// The links between the proxies under trial: proxy M binds 127.0.1.M and advertises 127.0.2.M, where this
// relay listens. It knows the sender by its address and passes on from the sender's 127.0.2.N, through a
// stand-in link for each direction, so that the program under test is unchanged.
//
// Owner: the trial runner, on its loop. Streams are cut as datagrams are: what a cut link holds comes late
// or never. Units: the links'. Errors: std::system_error where an address can't be had.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_RELAY_H_
#define LEMONCROFT_TESTING_FAULT_TEST_RELAY_H_

#include <memory>
#include <vector>

#include "runtime/datagram.h"
#include "testing/simulation/links.h"

namespace lemoncroft::fault_test {

class Relay {
 public:
  // For machines 1 to `machines`, ports `port` and `port` + 1 of each.
  Relay(runtime::Loop& loop, simulation::Links& links, std::size_t machines, std::uint16_t port);
  void Start();

  static std::string BindHost(std::size_t machine);        // the host that a proxy binds
  static std::string AdvertisedHost(std::size_t machine);  // the host that it advertises
  std::uint64_t passed() const { return passed_; }

 private:
  struct MachineAddress {
    std::size_t machine = 0;
    int index = 0;
    std::unique_ptr<runtime::DatagramSocket> datagrams;
    std::unique_ptr<runtime::Listener> streams;
  };
  struct SenderAddress {  // who sent it: 0 where nobody that is known
    std::size_t machine = 0;
    int index = 0;
  };

  MachineAddress& At(std::size_t machine, int index) {
    return *addresses_[2 * (machine - 1) + static_cast<std::size_t>(index)];
  }
  SenderAddress Sender(const runtime::Address& address) const;
  simulation::Instant Since() const { return runtime::Now() - start_; }
  runtime::Task<> ForwardDatagrams(MachineAddress& address);
  runtime::Task<> DeliverDatagram(runtime::Time at, SenderAddress from, const MachineAddress& to,
                                  std::string bytes);
  runtime::Task<> ForwardStream(std::unique_ptr<runtime::Socket> socket, const MachineAddress& to);
  runtime::Task<> CopyStream(std::shared_ptr<runtime::Socket> in, std::shared_ptr<runtime::Socket> out,
                             std::size_t from, std::size_t to);

  runtime::Loop& loop_;
  simulation::Links& links_;
  std::size_t machines_;
  std::uint16_t port_;
  runtime::Time start_ = runtime::Now();
  std::vector<std::unique_ptr<MachineAddress>> addresses_;
  std::uint64_t passed_ = 0;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_RELAY_H_
