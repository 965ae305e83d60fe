// The proxy's membership in its fleet: owns the Link, logs membership events, provides the fleet's metrics
// and writes the state file that `lemoncroft peers` shows. It exists only if the operator's file has a
// `fleet` node.
//
// RunProxy owns the object, and only the event loop's thread uses it.
#ifndef LEMONCROFT_PROXY_FLEET_H_
#define LEMONCROFT_PROXY_FLEET_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "decision/limits/token_bucket.h"
#include "operator_config/operator_file.h"
#include "peer_transport/link.h"
#include "proxy/operations.h"

namespace lemoncroft::proxy {

class Fleet {
 public:
  // `on_serving_rank` is called whenever the number of serving proxies or this proxy's rank among them
  // changes. Throws std::system_error if none of the addresses can be bound.
  Fleet(runtime::Loop& loop, const operator_config::FleetSettings& settings, const std::string& name,
        std::uint64_t seed, std::function<void(const gossip::ServingRank&)> on_serving_rank);

  void Start();
  void SetPhase(Operations::Phase phase);
  runtime::Task<> Leave() { return link_.Leave(); }
  std::vector<std::pair<std::string, std::uint64_t>> Metrics() const;
  const operator_config::FleetSettings& settings() const { return settings_; }
  peer_transport::Link& link() { return link_; }
  const gossip::MembershipView& view() const { return link_.view(); }

 private:
  void HandleEvent(const gossip::Event& event);
  void NotifyServingRank();
  runtime::Task<> WriteState();

  runtime::Loop& loop_;
  operator_config::FleetSettings settings_;
  std::function<void(const gossip::ServingRank&)> on_serving_rank_;
  gossip::ServingRank notified_rank_;
  peer_transport::Link link_;
  bool state_changed_ = true;                   // the state file is out of date
  limits::TokenBucket unconfirmed_log_budget_;  // for events of members without direct contact
  std::uint64_t suppressed_events_ = 0;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_FLEET_H_
