// A stand-in for a fleet of engines, in virtual time: cores shared among all that runs, by priority.
//
// Each engine shares its cores among the threads of its attempts in the ratio 1 : 4 : 8 : 16 by priority, at
// most one core a thread; past a knee in threads a core the whole gets slower. Engines come and go. What an
// attempt truly needs is the caller's to say (a bad plan is an attempt that needs many times more).
//
// Deterministic; the caller's times never run backwards. Not modelled: disks, memory, warm groups, sessions.
#ifndef LEMONCROFT_STANDIN_FLEET_H_
#define LEMONCROFT_STANDIN_FLEET_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lemoncroft::simulation {

using Engine = std::uint32_t;
using Key = std::pair<std::uint64_t, int>;  // request, attempt

struct Finished {
  Key key;
  Engine engine = 0;
  double at = 0;      // seconds
  double work = 0;    // core-seconds that it needed
  bool lost = false;  // its engine went
};

class Fleet {
 public:
  struct Load {
    Key key;
    Engine engine = 0;
    int threads = 1;
    int priority = 1;       // 0 to 3
    double work = 0;        // core-seconds
    std::size_t label = 0;  // whose consumption it counts to
  };

  // `knee`: threads a core past which the total falls; `thrash`: by how much at twice the knee.
  explicit Fleet(double knee = 2.0, double thrash = 0.3) : knee_(knee), thrash_(thrash) {}

  void Add(Engine engine, double cores, double speed);
  void Remove(Engine engine, std::vector<Finished>& out);  // what ran there is lost
  void SetSpeed(Engine engine, double speed);
  bool Has(Engine engine) const { return engines_.contains(engine); }
  double cores() const;

  bool Start(const Load& load);  // false where there is no such engine
  bool Stop(const Key& key);     // false where it does not run
  void Reprioritise(const Key& key, int priority);
  double Left(const Key& key) const;  // core-seconds; 0 where it does not run

  // Plays on to `now` (seconds); appends what ended, in order of time.
  void Advance(double now, std::vector<Finished>& out);

  double consumed(std::size_t label) const { return label < consumed_.size() ? consumed_[label] : 0; }
  std::size_t running() const { return where_.size(); }

 private:
  struct Attempt {
    Load load;
    double left = 0;
    double rate = 0;  // cores
  };
  struct Machine {
    double cores = 0, speed = 1;
    double at = 0;
    std::map<Key, Attempt> runs;
  };
  void Share(Machine& machine) const;
  void Play(Engine id, Machine& machine, double now, std::vector<Finished>& out);

  double knee_, thrash_, now_ = 0;
  std::map<Engine, Machine> engines_;
  std::map<Key, Engine> where_;
  std::vector<double> consumed_;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_STANDIN_FLEET_H_
