// Fences requests with the lease on the replicated configuration: a proxy acts only while its lease is valid,
// or as the isolation policy of the configuration permits. The lease is checked in the same turn of the event
// loop as the action, because a process may be stopped and resumed at any point.
//
// A returned value is valid for the current turn of the event loop only. Without a fence, every action is
// permitted. Not thread-safe. The code that assembles the proxy owns the fence.
#ifndef LEMONCROFT_REQUEST_LEASE_FENCE_H_
#define LEMONCROFT_REQUEST_LEASE_FENCE_H_

#include <string>

#include "lemoncroft/gateway.h"

namespace lemoncroft::request {

class LeaseFence {
 public:
  virtual ~LeaseFence() = default;
  // Returns true if a new request of the class may be accepted now.
  virtual bool AdmitsClass(const std::string& class_name) = 0;
  // Returns true if an attempt of a request of the class may currently be sent to the engine.
  virtual bool PermitsSend(const std::string& class_name, EngineId engine) = 0;
  // Decides about an attempt in the turn in which it is sent. Returns true and records the attempt if it is
  // permitted. `may_have_run` means that an earlier attempt of the request may have been executed, or may
  // still be running; a proxy without a valid lease does not permit the attempt then.
  virtual bool PermitAndRecordSend(const std::string& class_name, EngineId engine, bool may_have_run) = 0;
};

}  // namespace lemoncroft::request

#endif  // LEMONCROFT_REQUEST_LEASE_FENCE_H_
