// Access to the fleet's replicated configuration for those who change it.
#ifndef LEMONCROFT_PROXY_FLEET_CONFIG_CLIENT_H_
#define LEMONCROFT_PROXY_FLEET_CONFIG_CLIENT_H_

#include <string>

#include "replicated_config/config_replica.h"
#include "runtime/loop.h"

namespace lemoncroft::proxy {

class FleetConfigClient {
 public:
  virtual ~FleetConfigClient() = default;

  // Returns the latest committed version that this proxy has heard of. The fleet may have a later one.
  virtual replicated_config::Version latest_version() const = 0;
  // Returns the text of a version's document, or null if this proxy does not have it (yet).
  virtual const std::string* FindDocument(replicated_config::Version version) const = 0;
  // Returns an id that no other process of the fleet draws.
  virtual std::string NewRequestId() const = 0;
  // Returns false while too many requests are pending for another one to be sent to the leader.
  virtual bool CanSubmitRequest() const = 0;
  // Sends a change to the leader until it responds. The same change may be proposed again, by any process of
  // the fleet: it takes effect once. The status kUnknown means that no leader responded in time, and that
  // the change may still be committed. Requires CanSubmitRequest().
  virtual runtime::Task<replicated_config::RequestCompleted> Propose(replicated_config::ConfigChange change,
                                                                     runtime::Duration timeout) = 0;
  // Reads the latest version from the leader, linearizably. Without a `read` in the result, no leader
  // responded in time. Requires CanSubmitRequest().
  virtual runtime::Task<replicated_config::RequestCompleted> ReadCommitted(runtime::Duration timeout) = 0;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_FLEET_CONFIG_CLIENT_H_
