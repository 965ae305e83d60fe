// review/9: an exclusion that a proxy accepts while it doesn't know the newest version.
#include "rules_fleet.hh"

using namespace standin;

namespace {

int Run() {
  RulesFleet fleet(4, 3, 3);
  for (int i = 1; i <= 4; ++i) fleet.Start(i);
  for (int i = 1; i <= 4; ++i) fleet.AwaitReadyz(i);
  Sleep(2);

  // The database is out, and comes back.
  if (!OperatorCall(fleet.at(1).site.management, "exclude e1").starts_with("ACK for the fleet"))
    throw CannotRun{"the first exclusion was not committed"};
  Sleep(3);
  if (HasTrouble()) {
    Record("n4 is cut off from its peers");
    fleet.at(4).link->cut = true;
  }
  Sleep(0.5);
  if (!OperatorCall(fleet.at(1).site.management, "include e1").starts_with("ACK for the fleet"))
    throw CannotRun{"the return was not committed"};
  Sleep(3);

  // Another operator takes it out again, at the proxy that is cut off.
  const std::string answer = OperatorCall(fleet.at(4).site.management, "exclude e1");
  Sleep(1);
  if (HasTrouble()) {
    Record("n4 reaches its peers again");
    fleet.at(4).link->cut = false;
  }
  if (!answer.starts_with("ACK")) throw CannotRun{"the second exclusion was not accepted"};
  const double accepted_at = Seconds();
  Sleep(5);
  const double from = Seconds();
  int served = 0;
  for (int i = 1; i <= 4; ++i) served += fleet.SendLookups(i, 15);
  const int sent_by_it = fleet.StartedSince(1, from, "n4"), sent = fleet.StartedSince(1, from);
  Record(
      "%.1f s after the end of the cut, with `%s`: e1 got %d statements of %d, %d of them from the proxy "
      "that accepted the exclusion",
      from - accepted_at, answer.c_str(), sent, served, sent_by_it);
  std::printf("`%s`; then e1 got %d statements of %d, %d of them from n4\n", answer.c_str(), sent, served,
              sent_by_it);
  for (int i = 1; i <= 4; ++i) OperatorCall(fleet.at(i).site.management, "telemetry");
  const bool any_crashed = fleet.at(1).process->Ended() || fleet.at(4).process->Ended();
  fleet.EndAll();
  if (served == 0) throw CannotRun{"nothing was served"};
  return sent > 0 || any_crashed ? kBroken : kHeld;
}

}  // namespace

int main() { return Main(Run); }
