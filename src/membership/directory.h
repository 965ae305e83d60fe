// The list of engines as the control feed tells it: who they are, where they listen, and whether they may be
// sent anything.
#ifndef LEMONCROFT_MEMBERSHIP_DIRECTORY_H_
#define LEMONCROFT_MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "codec/json.h"
#include "lemoncroft/gateway.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace lemoncroft::membership {

struct Member {
  std::string name;
  std::string host_port;
  runtime::Address address;
  EngineEntry entry;
  std::uint64_t life = 0;  // changes with every new start and address
};

class Directory {
 public:
  explicit Directory(const settings::Site& site) : site_(site) {}

  // Applies the events of {"n":LAST,"events":[...]} that are not known yet, in order; hands what each of them
  // means for the module to `tell`. Returns false where the document is not of that form.
  bool Apply(const codec::Json& document, const std::function<void(EngineList)>& tell);

  const Member* Find(EngineId engine) const;
  bool MaySend(EngineId engine) const;  // listed and neither draining nor gone
  std::size_t remembered() const { return ids_.size() + names_.size() + members_.size(); }  // entries kept
  bool loaded() const { return loaded_; }
  std::int64_t last() const { return last_; }
  // Called with an engine whose connections are of no more use: it has gone, or started anew.
  std::function<void(EngineId)> on_ended;

 private:
  std::optional<EngineList> ApplyEvent(const codec::Json& members);
  std::optional<EngineEntry> ApplyMember(const codec::Json& json);
  EngineId IdOf(const std::string& name);
  void End(EngineId engine);     // of one life
  void Forget(EngineId engine);  // has gone for good

  const settings::Site& site_;
  std::map<std::string, EngineId> ids_;
  std::map<EngineId, std::string> names_;
  std::map<EngineId, Member> members_;
  std::int64_t last_ = 0;
  std::uint64_t lives_ = 0;
  bool loaded_ = false;
};

}  // namespace lemoncroft::membership

#endif  // LEMONCROFT_MEMBERSHIP_DIRECTORY_H_
