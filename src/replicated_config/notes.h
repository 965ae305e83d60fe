// What proxies tell each other to agree on rules, beside the log's own messages.
//
// Contract. Plain values and their form on the wire: no I/O. What is read is bounded; anything that isn't
// whole and well formed is nothing; a note of a later version is passed over. Owner: none. Units: the
// sender's monotonic clock, in spans since some start of its own. Source: docs/agreement.md.
#ifndef LEMONCROFT_RULES_NOTES_H_
#define LEMONCROFT_RULES_NOTES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "raft/types.h"
#include "replicated_config/book.h"
#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

// A message of the log, from voter to voter.
struct Logged {
  raft::Message message;
};
// A proxy asks for a lease: to whoever leads.
struct Renew {
  Renewal renewal;
  std::uint64_t format = 0;  // the newest documents that its program reads
  Version refuses = 0;       // the newest version that it has seen and can't carry
};
struct Granted {
  Grant grant;
  std::vector<raft::NodeId> voters;  // as they are now
};
// Whoever was asked doesn't lead; this voter may. Empty: none is known.
struct Elsewhere {
  raft::NodeId leader;
};
struct Fetch {
  Version version = 0;
};
struct Fetched {
  Version version = 0;
  std::string text;
};
struct Propose {
  Change change;
};
struct Told {
  Outcome outcome;
};
// The leader, of a change that is not committed yet: could you carry it? And the answer; empty: yes.
struct Ask {
  std::string id, text;
};
struct Answer {
  std::string id, why;
};
// A voter asked for a change of the voters.
struct Voters {
  std::string id;
  raft::NodeId who;
  bool in = false;
};
// What is agreed on: asked of the leader, and its answer, true at some instant between.
struct Read {
  std::string id;
};
struct ReadOut {
  std::string id;
  Version newest = 0, in_force = 0;
  std::vector<raft::NodeId> voters;
};
// A voter that has opened its store, to the others; and what they know of it (rules/admission.h).
struct Hello {
  std::uint64_t store = 0;  // drawn when the store was made
  bool founded = false;
  raft::Term term = 0, last_term = 0;
  raft::Index last = 0;
};
enum class Welcome : std::uint8_t {
  kBlank,     // I have nothing either
  kFine,      // I know nothing against it
  kOlder,     // it has answered me for more than it holds now
  kFounded,   // the fleet was founded with this store: see `founders`
  kStranger,  // the fleet was founded without this store
};
struct HelloAnswer {
  std::uint64_t to_store = 0, store = 0;
  Welcome welcome = Welcome::kBlank;
  std::map<raft::NodeId, std::uint64_t> founders;
};
// The leader, to a voter with an empty store that an operator has let in.
struct Invite {
  std::uint64_t store = 0;
};

using NoteBody = std::variant<Logged, Renew, Granted, Elsewhere, Fetch, Fetched, Propose, Told, Ask, Answer,
                              Voters, Read, ReadOut, Hello, HelloAnswer, Invite>;
struct Note {
  raft::NodeId from;  // the proxy's name
  NoteBody body;
};

std::string Encode(const Note& note);
std::optional<Note> DecodeNote(std::string_view bytes);

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_RULES_NOTES_H_
