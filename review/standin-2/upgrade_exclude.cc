// review/10: an exclusion that the fleet does not take, and an upgrade of the proxy that accepted it.
#include "rules_fleet.hh"

using namespace standin;

namespace {

std::string Output(const std::string& command) {
  std::string out;
  if (FILE* pipe = ::popen((command + " 2>&1").c_str(), "r")) {
    char bytes[4096];
    for (std::size_t n = 0; (n = std::fread(bytes, 1, sizeof bytes, pipe)) > 0;) out.append(bytes, n);
    ::pclose(pipe);
  }
  std::istringstream lines(out);
  for (std::string line; std::getline(lines, line);) Record("operator: %s", line.c_str());
  return out;
}

int Run() {
  RulesFleet fleet(4, 3, 4, RulesFleet::Peers::kDirect);
  RulesFleet::Proxy& n4 = fleet.at(4);  // no voter
  const std::string program = RunCommand().substr(RunCommand().rfind(' ') + 1);
  const int listener = ListenAt(n4.site.listen);
  const At second_management = FreeAddress();
  n4.process = fleet.StartInheriting(4, listener, n4.site.management);
  for (const int i : {1, 2, 3}) fleet.Start(i);
  for (const int i : {1, 2, 3, 4}) fleet.AwaitReadyz(i);
  Sleep(2);
  const std::string document = Folder() + "/document.kdl";
  WriteFile(document, "cut-off \"10s\" { class \"lookup\"; engine \"e1\" }\n");
  const std::string rules = "PROXY_CONFIG=" + n4.folder + "/config.json " + program + " rules --operator " +
                            n4.folder + "/operator.kdl";
  Output(rules + " propose " + document);
  Sleep(3);
  const std::string answer = OperatorCall(n4.site.management, "exclude e1");
  if (!answer.starts_with("ACK")) throw CannotRun{"the exclusion was not accepted"};
  Sleep(1);
  const double excluded_at = Seconds();
  fleet.SendLookups(4, 30);
  const int before = fleet.StartedSince(1, excluded_at, "n4");

  if (HasTrouble()) {
    auto successor = fleet.StartInheriting(4, listener, second_management);
    const double until = Seconds() + 6;
    while (!OperatorCall(second_management, "readyz").starts_with("ACK")) {
      if (Seconds() > until) throw CannotRun{"the successor is not ready within 6 s"};
      Sleep(0.1);
    }
    n4.process->Kill(SIGTERM);
    const double ends_by = Seconds() + 3.7;  // the longest deadline, 3 s, and 0.7 s
    while (!n4.process->Ended() && Seconds() < ends_by) Sleep(0.02);
    n4.process = std::move(successor);
  }
  Sleep(2);
  const double from = Seconds();
  const int served = fleet.SendLookups(4, 60);
  const int after = fleet.StartedSince(1, from, "n4");
  Record("`%s`: e1 got %d statements from n4 before the upgrade, %d of %d after it", answer.c_str(), before,
         after, served);
  std::printf("`%s`: e1 got %d statements from n4 before the upgrade, %d of %d after it\n", answer.c_str(),
              before, after, served);
  fleet.EndAll();
  if (served == 0) throw CannotRun{"nothing was served"};
  return before + after > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return Main(Run); }
