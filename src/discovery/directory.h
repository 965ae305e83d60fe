// The list of engines as the control feed tells it: who they are, where they listen, and whether they may be
// sent anything; and those that operators have left out by hand, whatever the feed says.
#ifndef LEMONCROFT_MEMBERSHIP_DIRECTORY_H_
#define LEMONCROFT_MEMBERSHIP_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "codec/json.h"
#include "lemoncroft/gateway.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace lemoncroft::discovery {

struct Member {
  std::string name;
  std::string host_port;
  runtime::Address address;
  std::string kind, zone;
  EngineEntry fed;         // as the control feed tells it
  EngineEntry entry;       // as it counts here: also by what operators have said
  std::uint64_t life = 0;  // changes with every new start and address
};

class Directory {
 public:
  explicit Directory(const settings::InForce& site) : site_(site) {}

  using Tell = std::function<void(EngineList)>;
  using UnixTime = std::chrono::system_clock::time_point;
  static constexpr std::size_t kOutMost = 4096;  // engines out by hand; as many as the fleet's rules can name

  // Applies the events of {"n":LAST,"events":[...]} that are not known yet, in order; hands what each of them
  // means for the module to `tell`. Returns false where the document is not of that form.
  bool Apply(const codec::Json& document, const Tell& tell);

  // New settings are in force: tells all engines again, with their kinds and zones as these number them.
  void Renumber(const Tell& tell);

  // An operator leaves the engine out until the call back. That holds for the id, whatever the feed tells of
  // it meanwhile; back, it counts as started at that time. Both may be said again. kNobody: no engine, listed
  // or out, has the id.
  enum class ByHand { kDone, kNobody, kTooMany };
  ByHand Exclude(const std::string& id, const Tell& tell);
  ByHand Include(const std::string& id, UnixTime at, const Tell& tell);
  bool IsOut(const std::string& id) const { return out_.contains(id); }
  // The same, as another process that serves these clients has been told: `out` is the whole of it.
  void TakeOver(const std::set<std::string>& out, const std::map<std::string, UnixTime>& returned,
                const Tell& tell);

  const Member* Find(EngineId engine) const;
  bool MaySend(EngineId engine) const;  // listed and neither draining nor gone
  std::size_t remembered() const {
    return ids_.size() + names_.size() + members_.size() + returned_.size();
  }                                                     // entries kept
  std::size_t size() const { return members_.size(); }  // engines listed
  // Of these, how many are out by hand or among `avoided`, each counted once.
  std::size_t Avoided(const std::vector<EngineId>& avoided) const;
  bool loaded() const { return loaded_; }
  std::int64_t last() const { return last_; }
  // Called with an engine whose connections are of no more use: it has gone, or started anew.
  std::function<void(EngineId)> on_ended;

 private:
  void Mark(EngineEntry& entry, const std::string& id) const;  // with what operators have said
  void Retell(const std::string& id, bool returned, const Tell& tell);
  std::optional<EngineList> ApplyEvent(const codec::Json& members);
  std::optional<EngineEntry> ApplyMember(const codec::Json& json);
  EngineId IdOf(const std::string& name);
  // The number of a zone or machine kind (`what`) among `names`, as the module is told it.
  std::uint16_t NumberOf(const std::string& name, const std::vector<std::string>& names, const char* what);
  void End(EngineId engine);     // of one life
  void Forget(EngineId engine);  // has gone for good

  const settings::InForce& site_;
  std::map<std::string, EngineId> ids_;
  std::map<EngineId, std::string> names_;
  std::map<EngineId, Member> members_;
  std::set<std::string> out_;                      // by hand; these may have gone
  std::map<std::string, std::uint16_t> unlisted_;  // zones and machine kinds that no settings have listed
  std::map<std::string, Nanos> returned_;          // of engines that are listed: since when by hand
  std::int64_t last_ = 0;
  std::uint64_t lives_ = 0;
  bool loaded_ = false;
};

}  // namespace lemoncroft::discovery

#endif  // LEMONCROFT_MEMBERSHIP_DIRECTORY_H_
