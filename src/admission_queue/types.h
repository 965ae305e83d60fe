// The terms of the waiting line: what it is set up with, what it is told, what it answers.
//
// The line stands in front of the decision module. It orders requests that wait by team budget and by worth
// that ages, estimates how long each will wait, and hands them to the module as fast as the module starts
// them. Which engine runs a query, and whether an attempt is made again, stay with the module.
//
// Contract. No I/O, no clock: every call is passed the time, which never runs backwards. The same settings
// and calls give the same decisions. docs/waiting.md tells what was weighed; the members here give units.
#ifndef LEMONCROFT_WAITING_TYPES_H_
#define LEMONCROFT_WAITING_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lemoncroft::admission_queue {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Span>;
using Work = std::chrono::nanoseconds;  // of one core; whole numbers, so that sums stay exact
using Id = std::uint64_t;
using Team = std::uint32_t;
using Klass = std::uint32_t;

inline double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }
// Out of range (a month and more) is clamped; NaN is zero.
Span FromSeconds(double seconds);

struct TeamBudget {
  std::string name;
  double cores = 0;           // core-seconds a second over the whole fleet; 0: the team may not send at all
  Span burst{};               // how far ahead of the others a team may run, in seconds of its budget
  int threads = 0;            // running at a time, over the whole fleet; 0: as many as there are
  std::size_t waiting = 0;    // requests waiting at this proxy; 0: as many as there may be
  std::vector<Klass> barred;  // classes that it may not use
};

struct ClassTerms {
  std::string name;
  double worth = 1;
  int threads = 1;
  Work usual{};        // what a request without an estimate is taken to need, until answers have told
  Span wait_most{};    // it starts or is refused within; zero: only by its client's patience
  bool light = false;  // short: handed over apart from the heavy ones, as the module counts them apart
};

struct Settings {
  std::vector<TeamBudget> teams;
  std::vector<ClassTerms> classes;
  Span ageing = std::chrono::seconds(2);  // the age that outweighs ten times the worth
  double level = 1.4;                     // threads of heavy classes a core that may run
  double part = 1;                        // of the fleet's budgets that is this proxy's, 0 to 1
  std::size_t waiting = 200'000;          // requests, of all teams together
  Span longest{};                         // advice is never longer; zero: no limit
};

// A request as the line knows it.
struct Ticket {
  Id id = 0;
  Team team = 0;
  Klass klass = 0;
  Work estimate{};       // zero: none; what is absurd is bounded
  Time give_up{};        // when its client stops waiting
  bool watched = false;  // its client wants to be told of revised estimates
};

enum class Why { kNone, kTeamBarred, kClassBarred, kTeamFull, kLineFull, kTooLate };
const char* Text(Why why);

// An estimate of the wait from now until the request is first sent to an engine.
struct Estimate {
  Span wait{};
  Span most{};  // with the error that such estimates have lately had
};

// ---- What the line decides ----

struct Hand {  // to the decision module
  Id id = 0;
};
struct Refuse {  // final; never ran
  Id id = 0;
  Why why = Why::kNone;
  Span later{};  // when to come back
};
struct Tell {  // a watched request's estimate has changed
  Id id = 0;
  Estimate estimate;
};
struct Say {  // for the log
  std::string text;
};
using Decision = std::variant<Hand, Refuse, Tell, Say>;

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_WAITING_TYPES_H_
