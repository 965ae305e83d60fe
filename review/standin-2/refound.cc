// A fleet that goes on from one store after the others are lost, and a proxy that kept running.
#include <sys/wait.h>

#include "rules_fleet.hh"

using namespace standin;

namespace {

// Runs a command of the project's program to its end and returns its output.
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
  RulesFleet fleet(4, 3, 4);
  const std::string program = RunCommand().substr(RunCommand().rfind(' ') + 1);
  for (int i = 1; i <= 4; ++i) fleet.Start(i);
  for (int i = 1; i <= 4; ++i) fleet.AwaitReadyz(i);
  Sleep(2);
  const auto call = [&](int proxy, const std::string& line) {
    return OperatorCall(fleet.at(proxy).site.management, line);
  };
  if (!call(1, "exclude e1").starts_with("ACK for the fleet, version 1")) throw CannotRun{"version 1"};
  Sleep(2);

  if (HasTrouble()) {
    // n3 is down while version 2 is agreed on; then the two other voters are lost with their disks.
    fleet.at(3).process->Kill(SIGKILL);
    fleet.at(3).process->Wait();
    Sleep(2);
    std::string answer = call(1, "exclude e2");
    for (int i = 0; i < 20 && !answer.starts_with("ACK for the fleet"); ++i)
      Sleep(0.5), answer = call(1, "exclude e2");
    if (!answer.starts_with("ACK for the fleet, version 2")) throw CannotRun{"version 2"};
    Sleep(3);
    for (const int lost : {1, 2}) {
      fleet.at(lost).process->Kill(SIGKILL);
      fleet.at(lost).process->Wait();
      for (const char* suffix : {"", "-wal", "-shm", "-journal"})
        ::unlink((fleet.at(lost).folder + "/rules" + suffix).c_str());
    }
    Sleep(2);
    const std::string refound = "PROXY_CONFIG=" + fleet.at(3).folder + "/config.json " + program +
                                " rules --operator " + fleet.at(3).folder + "/operator.kdl";
    const std::string config = " refound";
    const std::string first = Output(refound + config);
    const std::size_t at = first.rfind("--confirm ");
    if (at == std::string::npos) throw CannotRun{"refound says nothing to confirm"};
    std::string confirm = first.substr(at + 10);
    confirm = confirm.substr(0, confirm.find_first_of(" \n"));
    Output(refound + config + " --confirm " + confirm);
    fleet.Start(3);
    fleet.AwaitReadyz(3, 20);
    Sleep(2);
  }

  // The next change, at the proxy that goes on.
  std::string answer = call(3, "exclude e3");
  for (int i = 0; i < 20 && !answer.starts_with("ACK for the fleet"); ++i)
    Sleep(0.5), answer = call(3, "exclude e3");
  if (!answer.starts_with("ACK for the fleet")) throw CannotRun{"the change was not committed"};
  Sleep(4);
  Output("PROXY_CONFIG=" + fleet.at(3).folder + "/config.json " + program + " rules --operator " +
         fleet.at(3).folder + "/operator.kdl");
  call(3, "readyz");
  call(4, "readyz");
  const double from = Seconds();
  int served = 0;
  for (const int i : {3, 4}) served += fleet.SendLookups(i, 30);
  int excluded = 0;
  for (const int engine : {1, 3}) excluded += fleet.StartedSince(engine, from);
  const int by_n4 = fleet.StartedSince(3, from, "n4");
  Record("`%s`: 4 s later e1 and e3 got %d statements of %d; e3 got %d from n4", answer.c_str(), excluded,
         served, by_n4);
  std::printf("`%s`: 4 s later e1 and e3 got %d statements of %d; e3 got %d from n4\n", answer.c_str(),
              excluded, served, by_n4);
  fleet.EndAll();
  return excluded > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return Main(Run); }
