// Compatibility tests of the program's interface to operators and their scripts: help texts, exit codes, the
// output of check-config, the keys of the state files and of the JSON responses, and the names in the
// telemetry. The expected texts are files under fixtures/. CLI11 formats the help texts and the command line
// errors; the files under fixtures/help were written with CLI11 2.1.2, and another version may require new
// ones.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <regex>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace fs = std::filesystem;
using nlohmann::ordered_json;
using namespace std::chrono_literals;

const fs::path kFixtures = LEMONCROFT_FIXTURES;
constexpr auto kChangeTimeout = 5s;  // for a change of a state file, which is written at least every second
constexpr auto kPollInterval = 50ms;
constexpr auto kStartTimeout = 20s;    // for a proxy until it responds to calls over the peer transport
constexpr auto kProgramTimeout = 30s;  // for one run of the program
constexpr auto kReplyTimeout = 10s;    // for the reply to a command on the admin port
constexpr auto kExitPollInterval = 2ms;
constexpr int kCannotStartCode = 127;
constexpr int kFirstPort = 15000, kPorts = 17000;  // below the ephemeral ports of the system

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "lemoncroft-surface-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

std::string TextOf(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), {}};
}

void Replace(std::string& text, const std::string& what, const std::string& by) {
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += by.size())
    text.replace(at, what.size(), by);
}

struct Result {
  int code = -1;
  std::string out, err;
};

// Runs in the child between fork and exec. The child is killed when the test process ends, and its
// environment has a fixed USER and none of the variables that configure the program.
void PrepareChild(const fs::path& folder) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::chdir(folder.c_str()) != 0) ::_exit(kCannotStartCode);
  for (const char* name : {"PROXY_CONFIG", "PROXY_FD", "PROXY_MANAGEMENT", "TMPDIR"}) ::unsetenv(name);
  ::setenv("USER", "ada", 1);
}

// Returns the wait status of the child. Kills the child if it has not ended before the timeout.
int WaitForEnd(pid_t pid, bool& timed_out) {
  const auto deadline = std::chrono::steady_clock::now() + kProgramTimeout;
  int status = 0;
  timed_out = false;
  while (::waitpid(pid, &status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() > deadline) {
      timed_out = true;
      ::kill(pid, SIGKILL);
      ::waitpid(pid, &status, 0);
      break;
    }
    std::this_thread::sleep_for(kExitPollInterval);
  }
  return status;
}

// Runs the program in a folder to its end. The exit code is -1 for a run that is killed after the timeout.
Result RunProgram(const std::string& arguments, const fs::path& folder = "/") {
  const TemporaryFolder scratch;
  const std::string out = scratch.path() / "out", err = scratch.path() / "err";
  const std::string command =
      std::string("exec '") + LEMONCROFT_PROGRAM + "' " + arguments + " </dev/null >" + out + " 2>" + err;
  const pid_t pid = ::fork();
  if (pid == 0) {
    PrepareChild(folder);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(kCannotStartCode);
  }
  if (pid < 0) {
    ADD_FAILURE() << "no child process: " << arguments;
    return {};
  }
  bool timed_out = false;
  const int status = WaitForEnd(pid, timed_out);
  EXPECT_FALSE(timed_out) << arguments << ": killed after the timeout";
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, TextOf(out), TextOf(err)};
}

// ---- Help ----

struct HelpCase {
  const char* arguments;
  const char* golden;
};

TEST(Surface, Help_OfEachCommand_IsTheGoldenText) {
  constexpr HelpCase kCases[] = {{"help", "help"},
                                 {"--help", "lemoncroft"},
                                 {"-h", "lemoncroft"},
                                 {"serve --help", "serve"},
                                 {"check-config --help", "check-config"},
                                 {"waiting --help", "waiting"},
                                 {"peers --help", "peers"},
                                 {"version --help", "version"},
                                 {"help --help", "help"},
                                 {"rules --help", "rules"},
                                 {"rules show --help", "rules-show"},
                                 {"rules history --help", "rules-history"},
                                 {"rules propose --help", "rules-propose"},
                                 {"rules diff --help", "rules-diff"},
                                 {"rules revert --help", "rules-revert"},
                                 {"rules wait --help", "rules-wait"},
                                 {"rules voters --help", "rules-voters"},
                                 {"rules refound --help", "rules-refound"}};
  for (const auto& [arguments, golden] : kCases) {
    const Result result = RunProgram(arguments);
    EXPECT_EQ(result.code, 0) << arguments;
    EXPECT_EQ(result.out, TextOf(kFixtures / "help" / (std::string(golden) + ".txt"))) << arguments;
    EXPECT_EQ(result.err, "") << arguments;
  }
}

TEST(Surface, Version_IsNameAndNumber) {
  for (const char* arguments : {"version", "--version", "-V"}) {
    const Result result = RunProgram(arguments);
    EXPECT_EQ(result.code, 0) << arguments;
    EXPECT_TRUE(std::regex_match(result.out, std::regex("lemoncroft \\d+\\.\\d+\\.\\d+\n"))) << result.out;
  }
}

// ---- Exit codes without a running proxy ----

TEST(Surface, BadInput_ExitsWithItsCode) {
  struct Case {
    const char* arguments;
    int code;
    const char* err;  // beginning of the standard error output
  };
  constexpr Case kCases[] = {
      {"--nonsense", 2, "lemoncroft: "},
      {"nonsense", 2, "lemoncroft: "},
      {"serve check-config", 2, "lemoncroft: "},
      {"--log-format xml version", 2, "lemoncroft: --log-format: "},
      {"rules propose", 2, "lemoncroft: file is required\nusage: lemoncroft [command] [options]\n"},
      {"rules diff 1", 2, "lemoncroft: second is required\n"},
      {"rules wait soon", 2, "lemoncroft: "},
      {"rules voters sideways n1", 2, "lemoncroft: way: "},
      {"rules --patience 0 show", 2, "lemoncroft: --patience: "},
      {"", 1, "lemoncroft: no configuration: give --config or set PROXY_CONFIG\n"},
      {"serve", 1, "lemoncroft: no configuration: give --config or set PROXY_CONFIG\n"},
      {"check-config", 1, "lemoncroft: no configuration: give --config or set PROXY_CONFIG\n"},
      {"serve -c none.json", 1, "lemoncroft: cannot read the configuration none.json\n"},
      {"serve -c not_json.json", 1, "lemoncroft: not_json.json: JSON: "},
      {"serve -c good.json -o broken.kdl", 1, "lemoncroft: broken.kdl:2:9: "},
      {"waiting", 1, "lemoncroft: no configuration: give --config or set PROXY_CONFIG\n"},
      {"waiting -c good.json", 1, "lemoncroft: waiting: give --state or --operator\n"},
      {"peers -c good.json", 1, "lemoncroft: peers: give --state or --operator\n"},
      {"waiting --state none.json", 1, "lemoncroft: none.json: no state there\n"},
      {"peers --state none.json", 1, "lemoncroft: none.json: no state there\n"},
      {"peers --state good.json", 1, "lemoncroft: good.json: not a state: "},
      {"rules", 1, "lemoncroft: rules: give --operator, or --fleet and --at\n"},
      {"rules show --fleet f1 --at 127.0.0.1:1", 1, "lemoncroft: rules: no answer from 127.0.0.1:1\n"},
      {"rules history --fleet f1 --at 127.0.0.1:1", 1, "lemoncroft: rules: no answer from 127.0.0.1:1\n"},
      {"rules propose none.kdl --fleet f1 --at 127.0.0.1:1", 1, "lemoncroft: none.kdl: cannot be read\n"},
      {"rules refound --fleet f1 --store none.db --name n1", 1, "lemoncroft: none.db: no store there\n"},
  };
  for (const auto& [arguments, code, err] : kCases) {
    const Result result = RunProgram(arguments, kFixtures / "check_config");
    EXPECT_EQ(result.code, code) << arguments << "\n" << result.err;
    EXPECT_EQ(result.out, "") << arguments;
    EXPECT_EQ(result.err.substr(0, std::string(err).size()), err) << arguments;
  }
}

// ---- check-config ----

TEST(Surface, CheckConfig_PrintsTheGoldenText) {
  struct Case {
    const char* arguments;
    const char* golden;
    int code;
  };
  constexpr Case kCases[] = {{"-c good.json", "good", 0},
                             {"-c good.json --log-level loud", "good", 0},  // an unknown level is accepted
                             {"-c doubtful.json", "doubtful", 0},
                             {"-c broken.json", "broken", 1},
                             {"-c unreadable.json", "unreadable", 1},
                             {"-c not_json.json", "not_json", 1},
                             {"-c good.json -o good.kdl", "good_operator", 0},
                             {"-c good.json -o broken.kdl", "broken_operator", 1}};
  const fs::path folder = kFixtures / "check_config";
  for (const auto& [arguments, golden, code] : kCases) {
    const Result result = RunProgram("check-config " + std::string(arguments), folder);
    EXPECT_EQ(result.code, code) << arguments;
    EXPECT_EQ(result.out + result.err, TextOf(folder / (std::string(golden) + ".txt"))) << arguments;
    EXPECT_EQ(result.err.empty(), code == 0) << arguments;
  }
}

// ---- Display of state files ----

std::string StateWithAge(const std::string& fixture, std::chrono::milliseconds age) {
  std::string text = TextOf(kFixtures / "state" / fixture);
  const auto now = std::chrono::system_clock::now().time_since_epoch() - age;
  Replace(text, "@NOW@", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
  return text;
}

TEST(Surface, StateFile_Shown_PrintsTheGoldenTextAndExitsWithItsCode) {
  struct Case {
    const char* command;
    const char* state;
    int code;
  };
  constexpr Case kCases[] = {
      {"peers", "calm_peers", 0}, {"peers", "troubled_peers", 3}, {"waiting", "waiting", 0}};
  const TemporaryFolder folder;
  for (const auto& [command, state, code] : kCases) {
    const std::string show = std::string(command) + " --state state.json";
    const std::string fresh = StateWithAge(std::string(state) + ".json", 0ms);
    std::ofstream(folder.path() / "state.json") << fresh;
    const Result table = RunProgram(show, folder.path()), json = RunProgram(show + " --json", folder.path());
    EXPECT_EQ(table.code, code) << state;
    EXPECT_EQ(table.out, TextOf(kFixtures / "state" / (std::string(state) + ".txt"))) << state;
    EXPECT_EQ(json.code, 0) << state;
    EXPECT_EQ(json.out, fresh) << state;
    std::ofstream(folder.path() / "state.json") << StateWithAge(std::string(state) + ".json", 1h);
    const Result old = RunProgram(show, folder.path());
    EXPECT_EQ(old.code, 1) << state;
    EXPECT_EQ(old.err, "lemoncroft: state.json: 3600 s old, the proxy has ended or hangs\n") << state;
  }
}

// ---- A running proxy ----

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool IsFree(int port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(fd);
  return free;
}

int FreePort() {
  static int next = ::getpid() * 41;
  for (;;) {
    const int port = kFirstPort + ++next % kPorts;
    if (IsFree(port, SOCK_STREAM) && IsFree(port, SOCK_DGRAM)) return port;
  }
}

// Runs one proxy as the only voter of its fleet, with a store that an earlier process has written.
class RunningProxy : public ::testing::Test {
 protected:
  void SetUp() override {
    fs::copy_file(kFixtures / "store/voter.db", folder() / "voter.db");
    fs::permissions(folder() / "voter.db", fs::perms::owner_write, fs::perm_options::add);
    std::string config = TextOf(kFixtures / "check_config/good.json");
    Replace(config, "127.0.0.1:4100", "127.0.0.1:" + std::to_string(FreePort()));
    Replace(config, "127.0.0.1:4101", "127.0.0.1:" + std::to_string(admin_port_));
    std::ofstream(folder() / "config.json") << config;
    std::string file = TextOf(kFixtures / "state/operator.kdl");
    Replace(file, "@PEERS@", std::to_string(FreePort()));
    std::ofstream(folder() / "operator.kdl") << file;
    refound_result_ = RunRules("refound --confirm f1:7:9");
    ASSERT_EQ(refound_result_.code, 0) << refound_result_.err;
    Start();
    const Result result = WaitForActiveVersion();
    ASSERT_EQ(result.code, 0) << result.out << result.err;
  }

  void TearDown() override {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGTERM);
    bool timed_out = false;
    const int status = WaitForEnd(pid_, timed_out);
    EXPECT_FALSE(timed_out);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  }

  const fs::path& folder() const { return folder_.path(); }
  Result RunRules(const std::string& arguments) const {
    return RunProgram("rules " + arguments + " -c config.json -o operator.kdl", folder());
  }

  // Sends an operator's command and returns the complete reply.
  std::string SendCommand(const std::string& call) const {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{.tv_sec = kReplyTimeout.count(), .tv_usec = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const sockaddr_in to = Loopback(admin_port_);
    EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    const std::string line = call + "\n";
    EXPECT_EQ(::send(fd, line.data(), line.size(), MSG_NOSIGNAL), static_cast<ssize_t>(line.size()));
    std::string reply;
    std::array<char, 4096> bytes{};
    for (ssize_t n = 0; (n = ::recv(fd, bytes.data(), bytes.size(), 0)) > 0;)
      reply.append(bytes.data(), static_cast<std::size_t>(n));
    ::close(fd);
    return reply;
  }

  Result refound_result_;

 private:
  void Start() {
    pid_ = ::fork();
    if (pid_ != 0) return;
    PrepareChild(folder());
    ::execl(LEMONCROFT_PROGRAM, LEMONCROFT_PROGRAM, "serve", "-c", "config.json", "-o", "operator.kdl",
            "--log-level", "off", static_cast<char*>(nullptr));
    ::_exit(kCannotStartCode);
  }

  // Retries while there is no response, because the proxy may not listen yet.
  Result WaitForActiveVersion() const {
    const auto deadline = std::chrono::steady_clock::now() + kStartTimeout;
    for (;;) {
      Result result = RunRules("wait 3 --patience 20");
      const bool no_response = result.code == 1 && result.err.find(": no answer from ") != std::string::npos;
      if (!no_response || std::chrono::steady_clock::now() > deadline) return result;
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  TemporaryFolder folder_;
  int admin_port_ = FreePort();
  pid_t pid_ = -1;
};

// Appends a line with the key and the type of its value for each key, in the order of the text.
void AppendKeys(const ordered_json& json, const std::string& prefix, std::string& out) {
  for (const auto& [key, value] : json.items()) {
    const std::string name = prefix + key;
    out += name + " " + value.type_name() + "\n";
    if (key == "holders") continue;  // its keys are the names of processes
    if (value.is_object()) AppendKeys(value, name + ".", out);
    if (value.is_array() && !value.empty() && value.front().is_object())
      AppendKeys(value.front(), name + "[].", out);
  }
}

std::string KeysOf(const std::string& text) {
  std::string keys;
  AppendKeys(ordered_json::parse(text, nullptr, false), "", keys);
  return keys;
}

TEST_F(RunningProxy, StateFilesAndAnswers_HaveTheGoldenKeys) {
  const auto golden = [](const char* name) {
    return TextOf(kFixtures / "state" / (std::string(name) + "_keys.txt"));
  };
  for (const char* name : {"peers", "waiting"}) {
    const std::string expected = golden(name);
    const auto deadline = std::chrono::steady_clock::now() + kChangeTimeout;
    const fs::path file = folder() / (std::string(name) + ".json");
    // The first text of the file may lack keys.
    std::string keys;
    for (; std::chrono::steady_clock::now() < deadline; std::this_thread::sleep_for(kPollInterval)) {
      keys = fs::exists(file) ? KeysOf(TextOf(file)) : "";
      if (keys == expected) break;
    }
    EXPECT_EQ(keys, expected) << name;
  }
  EXPECT_EQ(KeysOf(RunRules("show --json").out), golden("rules_show"));
  EXPECT_EQ(KeysOf(RunRules("history --json").out), golden("rules_history"));
  EXPECT_EQ(KeysOf(RunRules("wait 3 --json").out), golden("rules_wait"));
  EXPECT_EQ(KeysOf(RunRules("voters in n1 --json").out), golden("rules_voters"));
}

TEST_F(RunningProxy, Telemetry_HasTheGoldenNames) {
  EXPECT_EQ(SendCommand("readyz"), "ACK\n");
  const std::string reply = SendCommand("telemetry");
  EXPECT_EQ(std::regex_replace(reply, std::regex("=\\d+\n"), "\n"),
            TextOf(kFixtures / "telemetry/names.txt"));
}

TEST_F(RunningProxy, Refound_StoreOfAnEarlierProcess_ServesItsVersions) {
  EXPECT_EQ(
      refound_result_.out,
      "store voter.db: term 7, log up to 9\n"
      "n1 is the only voter from log entry 10 on. Start it, then let others in: rules voters in NAME\n");
  const Result history = RunRules("history");
  EXPECT_EQ(history.code, 0);
  EXPECT_EQ(history.out,
            "     1 2023-11-14T22:13:20Z      20 bytes ada\n"
            "     2 2023-11-14T22:13:21Z      29 bytes n2 exclude e7\n"
            "     3 2023-11-14T22:13:23Z      43 bytes ada (in force)\n");
  const Result show = RunRules("show");
  EXPECT_EQ(show.code, 0);
  EXPECT_TRUE(show.out.ends_with("\n\nformat 1\nattempts 3\nopen-most 500\nout \"e7\"\n")) << show.out;
  EXPECT_EQ(RunRules("diff 1 3").out, TextOf(kFixtures / "state/rules_diff.txt"));
}

TEST_F(RunningProxy, RulesCommands_ExitWithTheirCodes) {
  std::ofstream(folder() / "next.kdl") << "format 1\nattempts 4\n";
  std::ofstream(folder() / "later.kdl") << "format 9\n";
  std::ofstream(folder() / "foreign.kdl") << "format 1\nclass \"nobody\" { effect \"pure\" }\n";
  struct Case {
    const char* arguments;
    int code;
  };
  constexpr Case kCases[] = {{"show", 0},
                             {"", 0},
                             {"history", 0},
                             {"diff 1 2", 0},
                             {"diff 1 99", 1},
                             {"wait 3", 0},
                             {"wait 99 --patience 0.1", 6},
                             {"propose none.kdl", 1},
                             {"propose later.kdl", 4},
                             {"propose foreign.kdl", 4},
                             {"propose next.kdl --from 2", 3},
                             {"propose next.kdl --from 3", 0},
                             {"propose next.kdl", 0},
                             {"revert 3", 0},
                             {"revert 99", 1},
                             {"refound", 1},
                             {"voters out n1", 4}};
  for (const auto& [arguments, code] : kCases) {
    const Result result = RunRules(arguments);
    EXPECT_EQ(result.code, code) << arguments << "\n" << result.out << result.err;
  }
}

TEST(Surface, Refound_WithoutConfirmation_ChangesNothingAndExitsWithFour) {
  const TemporaryFolder folder;
  fs::copy_file(kFixtures / "store/voter.db", folder.path() / "voter.db");
  fs::permissions(folder.path() / "voter.db", fs::perms::owner_write, fs::perm_options::add);
  const std::string before = TextOf(folder.path() / "voter.db");
  const Result result = RunProgram("rules refound --fleet f1 --store voter.db --name n1", folder.path());
  EXPECT_EQ(result.code, 4);
  EXPECT_TRUE(result.out.ends_with("--confirm f1:7:9\n")) << result.out;
  EXPECT_EQ(TextOf(folder.path() / "voter.db"), before);
}

}  // namespace
