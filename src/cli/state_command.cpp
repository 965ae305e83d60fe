#include "cli/state_command.h"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

#include "proxy/unix_time.h"

namespace lemoncroft::cli {

using nlohmann::ordered_json;

namespace {

constexpr std::int64_t kMaxStateAgeMs = 5000;  // the proxy of an older state has ended or hangs
constexpr int kExitNoState = 1, kExitUnhealthy = 3;

std::string Text(const ordered_json& object, const char* key) { return object.at(key).get<std::string>(); }

int PrintQueueState(const ordered_json& state) {
  std::printf("%s: %zu wait, %zu handed over, %zu attempts run; %.0f cores, budgets at %.0f%%\n",
              Text(state, "proxy").c_str(), state.at("waiting").get<std::size_t>(),
              state.at("handed").get<std::size_t>(), state.at("running").get<std::size_t>(),
              state.at("fleet_cores").get<double>(), 100 * state.at("scale").get<double>());
  std::printf("%-16s %8s %8s %8s %8s %9s %9s %9s %9s\n", "team", "cores", "threads", "waiting", "work s",
              "wait s", "taken", "started", "refused");
  for (const ordered_json& team : state.at("teams")) {
    std::printf("%-16s %8.1f %8d %8zu %8.1f %9.2f %9llu %9llu %9llu\n", Text(team, "name").c_str(),
                team.at("cores").get<double>(), team.at("threads").get<int>(),
                team.at("waiting").get<std::size_t>(), team.at("work_s").get<double>(),
                team.at("wait_s").get<double>(), team.at("taken").get<unsigned long long>(),
                team.at("handed").get<unsigned long long>(), team.at("refused").get<unsigned long long>());
  }
  return 0;
}

void PrintFleetSummary(const ordered_json& state) {
  std::printf("%s of fleet %s: %zu alive, %zu suspected, %zu failed; %d serve, this one is %d; health %d%s\n",
              Text(state, "proxy").c_str(), Text(state, "fleet").c_str(),
              state.at("alive").get<std::size_t>(), state.at("suspected").get<std::size_t>(),
              state.at("failed").get<std::size_t>(), state.at("serving").get<int>(),
              state.at("place").get<int>() + 1, state.at("health").get<int>(),
              state.at("views_differ").get<std::size_t>() > 0 ? "; VIEWS DIFFER" : "");
}

void PrintMember(const ordered_json& member) {
  const double last_contact_s = member.at("proof_s").is_null() ? -1 : member.at("proof_s").get<double>();
  std::string suspected_by;
  for (const ordered_json& suspector : member.at("suspected_by"))
    suspected_by += (suspected_by.empty() ? "" : " ") + suspector.get<std::string>();
  std::printf("%-20s %-10s %-9s %4u %6llu %-10s %-21s %9.1f %9.1f %s%s%s\n", Text(member, "name").c_str(),
              Text(member, "status").c_str(), Text(member, "phase").c_str(),
              member.at("generation").get<unsigned>(), member.at("incarnation").get<unsigned long long>(),
              Text(member, "zone").c_str(), Text(member, "address").c_str(), last_contact_s,
              member.at("since_s").get<double>(), suspected_by.c_str(),
              member.at("differs").get<bool>() ? " differs" : "",
              member.at("self").get<bool>() ? " (this one)" : "");
}

bool IsHealthy(const ordered_json& state) {
  return state.at("suspected") == 0 && state.at("failed") == 0 && state.at("contested").empty() &&
         state.at("views_differ") == 0;
}

int PrintFleetState(const ordered_json& state) {
  PrintFleetSummary(state);
  std::printf("%-20s %-10s %-9s %4s %6s %-10s %-21s %9s %9s %s\n", "member", "status", "phase", "gen", "inc",
              "zone", "address", "proof s", "since s", "suspected by");
  for (const ordered_json& member : state.at("members")) PrintMember(member);
  for (const ordered_json& name : state.at("contested"))
    std::printf("CONTESTED: two processes serve as %s\n", name.get<std::string>().c_str());
  return IsHealthy(state) ? 0 : kExitUnhealthy;
}

// Prints the unchanged text of the file, or calls `print` and returns its exit code.
int ShowFile(const std::string& path, OutputFormat format,
             const std::function<int(const ordered_json&)>& print) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const ordered_json state = ordered_json::parse(text.str(), nullptr, false);
  if (!file || !state.is_object()) {
    std::fprintf(stderr, "lemoncroft: %s: no state there\n", path.c_str());
    return kExitNoState;
  }
  try {
    if (format == OutputFormat::kJson) std::fputs(text.str().c_str(), stdout);
    const int code = format == OutputFormat::kJson ? 0 : print(state);
    const std::int64_t age_ms = proxy::UnixMs() - state.at("at_unix_ms").get<std::int64_t>();
    if (age_ms <= kMaxStateAgeMs) return code;
    std::fprintf(stderr, "lemoncroft: %s: %.0f s old, the proxy has ended or hangs\n", path.c_str(),
                 static_cast<double>(age_ms) / 1000);
  } catch (const nlohmann::json::exception& e) {
    std::fprintf(stderr, "lemoncroft: %s: not a state: %s\n", path.c_str(), e.what());
  }
  return kExitNoState;
}

}  // namespace

int ShowQueueState(const std::string& path, OutputFormat format) {
  return ShowFile(path, format, PrintQueueState);
}

int ShowFleetState(const std::string& path, OutputFormat format) {
  return ShowFile(path, format, PrintFleetState);
}

}  // namespace lemoncroft::cli
