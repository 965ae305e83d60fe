// Whether this proxy may act on the rules that it holds: asked at the act itself, since a process that was
// stopped may wake anywhere.
//
// Contract. Answers for this instant and this turn of the loop alone. Without one every act is allowed.
// Owner: the proxy's wiring.
#ifndef LEMONCROFT_BROKER_LEASE_FENCE_H_
#define LEMONCROFT_BROKER_LEASE_FENCE_H_

#include <string>

#include "lemoncroft/gateway.h"

namespace lemoncroft::broker {

class LeaseFence {
 public:
  virtual ~LeaseFence() = default;
  // Whether requests of that class are taken at all.
  virtual bool AdmitsClass(const std::string& klass) = 0;
  // Whether a statement of that class might go to the engine at this instant.
  virtual bool PermitsSend(const std::string& klass, EngineId engine) = 0;
  // The same in the turn in which it goes: a yes is an act, and is noted. `again`: engines may have it
  // already.
  virtual bool RecordSend(const std::string& klass, EngineId engine, bool again) = 0;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_LEASE_FENCE_H_
