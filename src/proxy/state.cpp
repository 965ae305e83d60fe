#include "proxy/state.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "runtime/descriptor.h"

namespace lemoncroft::proxy {

using nlohmann::ordered_json;

namespace {

constexpr std::int64_t kOldMs = 5000;  // a state this old is of a proxy that has ended, or hangs

int Print(const ordered_json& state) {
  std::printf("%s: %zu wait, %zu handed over, %zu attempts run; %.0f cores, budgets at %.0f%%\n",
              state.at("proxy").get<std::string>().c_str(), state.at("waiting").get<std::size_t>(),
              state.at("handed").get<std::size_t>(), state.at("running").get<std::size_t>(),
              state.at("fleet_cores").get<double>(), 100 * state.at("scale").get<double>());
  std::printf("%-16s %8s %8s %8s %8s %9s %9s %9s %9s\n", "team", "cores", "threads", "waiting", "work s",
              "wait s", "taken", "started", "refused");
  for (const ordered_json& team : state.at("teams")) {
    std::printf("%-16s %8.1f %8d %8zu %8.1f %9.2f %9llu %9llu %9llu\n",
                team.at("name").get<std::string>().c_str(), team.at("cores").get<double>(),
                team.at("threads").get<int>(), team.at("waiting").get<std::size_t>(),
                team.at("work_s").get<double>(), team.at("wait_s").get<double>(),
                team.at("taken").get<unsigned long long>(), team.at("handed").get<unsigned long long>(),
                team.at("refused").get<unsigned long long>());
  }
  return 0;
}

}  // namespace

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string StateText(const std::string& proxy, const admission_queue::AdmissionQueue::State& state) {
  ordered_json out = {{"proxy", proxy},
                      {"at_unix_ms", UnixMs()},
                      {"waiting", state.waiting},
                      {"handed", state.dispatched},
                      {"running", state.running},
                      {"overrun_threads", state.overrun_threads},
                      {"fleet_cores", state.fleet_cores},
                      {"scale", state.scale},
                      {"pace_heavy", state.pace[0]},
                      {"pace_light", state.pace[1]},
                      {"error_heavy", state.estimate_error[0]},
                      {"error_light", state.estimate_error[1]},
                      {"teams", ordered_json::array()}};
  for (const admission_queue::AdmissionQueue::TenantState& tenant : state.tenants) {
    out["teams"].push_back({{"name", tenant.name},
                            {"cores", tenant.cores},
                            {"charged_s", tenant.charged_seconds},
                            {"tag_s", tenant.start_tag},
                            {"threads", tenant.threads},
                            {"waiting", tenant.waiting},
                            {"work_s", admission_queue::Seconds(tenant.waiting_work)},
                            {"wait_s", admission_queue::Seconds(tenant.longest_wait)},
                            {"taken", tenant.submitted},
                            {"handed", tenant.dispatched},
                            {"refused", tenant.rejected}});
  }
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

bool ReplaceFile(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  runtime::Descriptor file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  if (!file) return false;
  const bool whole = ::write(file.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size());
  return whole && std::rename(fresh.c_str(), path.c_str()) == 0;
}

int ShowFile(const std::string& path, bool json, const std::function<int(const ordered_json&)>& print) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const ordered_json state = ordered_json::parse(text.str(), nullptr, false);
  if (!file || !state.is_object()) {
    std::fprintf(stderr, "lemoncroft: %s: no state there\n", path.c_str());
    return 1;
  }
  try {
    if (json) std::fputs(text.str().c_str(), stdout);
    const int code = json ? 0 : print(state);
    const std::int64_t age = UnixMs() - state.at("at_unix_ms").get<std::int64_t>();
    if (age <= kOldMs) return code;
    std::fprintf(stderr, "lemoncroft: %s: %.0f s old, the proxy has ended or hangs\n", path.c_str(),
                 static_cast<double>(age) / 1000);
  } catch (const nlohmann::json::exception& e) {
    std::fprintf(stderr, "lemoncroft: %s: not a state: %s\n", path.c_str(), e.what());
  }
  return 1;
}

int ShowState(const std::string& path, bool json) { return ShowFile(path, json, Print); }

}  // namespace lemoncroft::proxy
