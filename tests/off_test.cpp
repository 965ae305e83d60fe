// Without an operator's file, the program must make the same system calls as before the fleet membership was
// added: no additional socket, descriptor, datagram or read of random data. The test traces the program from
// its exec to its end and compares the counts of system calls with those recorded before that change.
#include <gtest/gtest.h>
#include <sys/ptrace.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <thread>

namespace {

using Counts = std::map<std::string, int>;

// What a kind of machine lacks of these is left out, and an older form counts under the name of the newer
// one: where the C library makes pipe(), fork(), rename(), unlink(), rmdir() or mkdir() a call of its own on
// one kind, it makes it the newer form on another.
const std::map<long, const char*> kCountedCalls = {
    {SYS_socket, "socket"},
    {SYS_bind, "bind"},
    {SYS_listen, "listen"},
    {SYS_connect, "connect"},
    {SYS_sendto, "sendto"},
    {SYS_recvfrom, "recvfrom"},
    {SYS_sendmsg, "sendmsg"},
    {SYS_recvmsg, "recvmsg"},
    {SYS_socketpair, "socketpair"},
    {SYS_pipe2, "pipe2"},
    {SYS_eventfd2, "eventfd2"},
    {SYS_epoll_create1, "epoll_create1"},
    {SYS_epoll_ctl, "epoll_ctl"},
    {SYS_signalfd4, "signalfd4"},
    {SYS_timerfd_create, "timerfd_create"},
    {SYS_clone, "clone"},
    {SYS_clone3, "clone3"},
    {SYS_fsync, "fsync"},
    {SYS_renameat2, "rename"},
    {SYS_unlinkat, "unlink"},
    {SYS_mkdirat, "mkdir"},
    {SYS_setsockopt, "setsockopt"},
#ifdef SYS_renameat
    {SYS_renameat, "rename"},
#endif
#ifdef SYS_rename
    {SYS_rename, "rename"},
#endif
#ifdef SYS_unlink
    {SYS_unlink, "unlink"},
#endif
#ifdef SYS_rmdir
    {SYS_rmdir, "unlink"},
#endif
#ifdef SYS_mkdir
    {SYS_mkdir, "mkdir"},
#endif
#ifdef SYS_pipe
    {SYS_pipe, "pipe2"},
#endif
#ifdef SYS_eventfd
    {SYS_eventfd, "eventfd2"},
#endif
#ifdef SYS_epoll_create
    {SYS_epoll_create, "epoll_create1"},
#endif
#ifdef SYS_signalfd
    {SYS_signalfd, "signalfd4"},
#endif
#ifdef SYS_fork
    {SYS_fork, "clone"},
#endif
#ifdef SYS_vfork
    {SYS_vfork, "clone"},
#endif
};

// Runs the program to its end and counts its system calls. SIGTERM ends it some time after its first
// listen().
Counts CountCalls(const std::string& program, const std::string& config) {
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::ptrace(PTRACE_TRACEME, 0, nullptr, nullptr);
    ::execl(program.c_str(), program.c_str(), "serve", "--config", config.c_str(), "--log-level", "off",
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  Counts counts;
  int status = 0;
  ::waitpid(pid, &status, 0);
  ::ptrace(PTRACE_SETOPTIONS, pid, nullptr, PTRACE_O_TRACESYSGOOD | PTRACE_O_EXITKILL);
  std::thread terminator;
  int signal = 0;
  while (true) {
    ::ptrace(PTRACE_SYSCALL, pid, nullptr, signal);
    signal = 0;
    ::waitpid(pid, &status, 0);
    if (WIFEXITED(status) || WIFSIGNALED(status)) break;
    if (WSTOPSIG(status) != (SIGTRAP | 0x80)) {
      signal = WSTOPSIG(status) == SIGTRAP ? 0 : WSTOPSIG(status);
      continue;
    }
    __ptrace_syscall_info call{};
    if (::ptrace(PTRACE_GET_SYSCALL_INFO, pid, sizeof call, &call) <= 0) {
      ADD_FAILURE() << "PTRACE_GET_SYSCALL_INFO failed";
      ::kill(pid, SIGKILL);
      continue;
    }
    if (call.op != PTRACE_SYSCALL_INFO_ENTRY) continue;
    const auto number = static_cast<long>(call.entry.nr);
    const auto it = kCountedCalls.find(number);
    if (it != kCountedCalls.end()) ++counts[it->second];
    if (number == SYS_listen && !terminator.joinable()) {
      terminator = std::thread([pid] {
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        ::kill(pid, SIGTERM);
      });
    }
  }
  if (terminator.joinable()) terminator.join();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  return counts;
}

TEST(Off, Serve_WithoutOperatorFile_MakesTheRecordedSystemCalls) {
  char folder[] = "/tmp/lemoncroft-off-XXXXXX";
  ASSERT_NE(::mkdtemp(folder), nullptr);
  const std::string config = std::string(folder) + "/config.json";
  std::ofstream(config) << R"({"name":"n1","listen":"127.0.0.1:0","seed":"1","feed":"","known":
{"n":1,"events":[{"n":1,"members":{"revision":1,"complete":true,"members":[
{"id":"e1","host_port":"127.0.0.1:9","locality":"dc","flavor":"std","cell":0,"phase":"Ready","size":1,
"up_since_ms":0}]}}]},"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"siblings":2,"me":0,"zone":0,"dcs":["dc"],"flavors":["std"],"tickNs":5000000,
"membershipMode":"pushed","requestClasses":[
{"name":"lookup","promiseNs":600000000,"deadlineNs":3000000000,"credit":1.0,"lateWorth":0.1,"effect":"pure",
"group":"all"}],"tenants":[{"name":"acme","portion":1.0,"quotaPerS":1000}],
"report":{"fields":[],"source":"none"},
"specifics":{"threadsByClass":[1],"holdsTables":[false],"blockedByLoads":[false],"cpuOfKind":[8],
"ramOfKindMb":[16384],"maxGrantShare":0.4,"takesGrants":true,"ranksHeeded":true,"saysCost":true,
"memoryShort":"queue","progressNs":0},
"limits":{"cancel":true,"mayDuplicate":true,"retryAfter":true,"maxAttempts":5,"maxOpen":1000,
"maxRetryAfterNs":1000000000,"connectTimeoutNs":250000000,"keepaliveNs":15000000000,"probing":true},
"guarantees":{"answerSlackNs":20000000,"drainGraceNs":250000000,"coldFrom":0.31,
"warmWithinNs":14000000000,"overloadFactor":4.0,"fallNs":1000000000}}})";
  const char* program = std::getenv("LEMONCROFT_TRACED");  // for recording: another version of the program
  const Counts counts = CountCalls(program == nullptr ? LEMONCROFT_PROGRAM : program, config);
  // Recorded at commit 05022c1, with the same counts in three runs.
  const Counts recorded = {{"bind", 1},       {"epoll_create1", 1}, {"epoll_ctl", 3}, {"listen", 1},
                           {"setsockopt", 1}, {"signalfd4", 1},     {"socket", 1}};
  std::string counts_text;
  for (const auto& [name, count] : counts)
    counts_text += "{\"" + std::string(name) + "\", " + std::to_string(count) + "}, ";
  EXPECT_EQ(counts, recorded) << counts_text;
  std::remove(config.c_str());
  ::rmdir(folder);
}

}  // namespace
