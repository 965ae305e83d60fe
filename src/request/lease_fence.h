// Fences requests with the lease on the replicated configuration: a proxy acts only while its lease is valid.
// The lease is checked in the turn of the action, since a process may be stopped and resumed anywhere.
//
// Contract: an answer is valid for the current turn of the event loop only. Without a fence every action is
// permitted. Owner: the proxy's wiring. Thread safety: none.
#ifndef LEMONCROFT_REQUEST_LEASE_FENCE_H_
#define LEMONCROFT_REQUEST_LEASE_FENCE_H_

#include <string>

#include "lemoncroft/gateway.h"

namespace lemoncroft::request {

class LeaseFence {
 public:
  virtual ~LeaseFence() = default;
  // Whether requests of a class are admitted at all.
  virtual bool AdmitsClass(const std::string& class_name) = 0;
  // Whether an attempt of a class might be sent to an engine now.
  virtual bool PermitsSend(const std::string& class_name, EngineId engine) = 0;
  // Permits an attempt in the turn in which it is sent, and records it if permitted. `may_have_run`: an
  // earlier attempt of the request may have been executed, or still be.
  virtual bool PermitAndRecordSend(const std::string& class_name, EngineId engine, bool may_have_run) = 0;
};

}  // namespace lemoncroft::request

#endif  // LEMONCROFT_REQUEST_LEASE_FENCE_H_
