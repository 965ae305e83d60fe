#include "testing/fault_test/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace lemoncroft::fault_test {
namespace {

constexpr int kInheritedListener = 3;
constexpr std::size_t kMaxLineBytes = 4096;
// Exit codes of a child that could not start the program.
constexpr int kStartupFailedCode = 125, kParentEndedCode = 126, kExecFailedCode = 127;

// Lets the parent wait until the child has closed its copies of the parent's descriptors.
struct StartupPipe {
  runtime::Descriptor read_end, write_end;
};

StartupPipe OpenStartupPipe() {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe2");
  StartupPipe pipe{runtime::Descriptor(ends[0]), runtime::Descriptor(ends[1])};
  // Moves the write end above the descriptors that are passed to the child.
  pipe.write_end =
      runtime::Descriptor(::fcntl(pipe.write_end.get(), F_DUPFD_CLOEXEC, kInheritedListener + 1));
  if (!pipe.write_end) throw std::system_error(errno, std::generic_category(), "fcntl");
  return pipe;
}

// Waits until the child has closed its copies of the parent's descriptors or has ended. While the child
// holds a copy of a socket that the parent has closed, the parent's epoll instance still reports events of
// that socket, whose owner no longer exists.
void AwaitDescriptorsClosed(StartupPipe& pipe) {
  pipe.write_end = {};
  char byte = 0;
  while (::read(pipe.read_end.get(), &byte, 1) < 0 && errno == EINTR) {
  }
}

// Runs between fork and exec, where only async-signal-safe calls are allowed.
[[noreturn]] void RunChild(pid_t parent, int output, int inherited_listener, int startup,
                           char* const* arguments, char* const* environment) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(kParentEndedCode);  // the parent ended before prctl took effect
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  if (inherited_listener >= 0) {
    if (inherited_listener == kInheritedListener)
      ::fcntl(inherited_listener, F_SETFD, 0);
    else
      ::dup2(inherited_listener, kInheritedListener);
  }
  const int first_unused = inherited_listener >= 0 ? kInheritedListener + 1 : kInheritedListener;
  if (startup > first_unused) ::close_range(first_unused, startup - 1, 0);
  ::close_range(startup + 1, ~0U, 0);
  const char closed = 1;
  if (::write(startup, &closed, 1) != 1) ::_exit(kStartupFailedCode);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::execve(arguments[0], arguments, environment);
  ::_exit(kExecFailedCode);
}

}  // namespace

ChildProcess::ChildProcess(runtime::Loop& loop, const Command& command, LineHandler on_line) {
  int ends[2];
  // The child's output goes through a socket, which the loop can read.
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
    throw std::system_error(errno, std::generic_category(), "socketpair");
  runtime::Descriptor parent_end(ends[0]), child_end(ends[1]);
  ::fcntl(parent_end.get(), F_SETFL, O_NONBLOCK);
  std::vector<std::string> arguments = command.arguments, environment;
  for (const auto& [name, value] : command.environment) environment.push_back(name + "=" + value);
  std::vector<char*> argv, envp;
  for (std::string& argument : arguments) argv.push_back(argument.data());
  for (std::string& entry : environment) envp.push_back(entry.data());
  argv.push_back(nullptr);
  envp.push_back(nullptr);
  StartupPipe startup = OpenStartupPipe();
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0)
    RunChild(parent, child_end.get(), command.inherited_listener, startup.write_end.get(), argv.data(),
             envp.data());
  AwaitDescriptorsClosed(startup);
  loop.Spawn(ReadLines(std::make_shared<runtime::Socket>(loop, std::move(parent_end)), std::move(on_line)));
}

ChildProcess::~ChildProcess() {
  if (!IsRunning()) return;
  Signal(SIGKILL);
  int status = 0;
  ::waitpid(pid_, &status, 0);
}

void ChildProcess::Signal(int signal) const {
  if (!status_) ::kill(pid_, signal);
}

bool ChildProcess::IsRunning() {
  if (status_) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
  return !status_;
}

runtime::Task<> ChildProcess::ReadLines(std::shared_ptr<runtime::Socket> output, LineHandler on_line) {
  std::string text;
  while (co_await output->Read(text, kMaxLineBytes, runtime::kNever) == runtime::IoResult::kOk) {
    std::size_t from = 0;
    for (std::size_t end = 0; (end = text.find('\n', from)) != std::string::npos; from = end + 1)
      on_line(text.substr(from, end - from));
    text.erase(0, from);
    if (text.size() > kMaxLineBytes) text.clear();
  }
}

}  // namespace lemoncroft::fault_test
