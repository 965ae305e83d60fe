// A database as a process of its own: database NAME LISTENING_FD PROGRESS_FD RECORD ZERO_MS
// It ends its result by closing the connection (HTTP/1.1 without Content-Length, with `Connection: close`), writes the
// rows one by one, and resets its connections when it dies. Half-way through each result it writes one byte to
// PROGRESS_FD.
#include "common.hh"

using namespace standin;

namespace {

void SetLinger(int fd, int on) {
  const linger value{on, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

class ClosingDatabase : public Database {
 public:
  ClosingDatabase(std::string name, int progress) : Database(std::move(name)), progress_(progress) {}

 protected:
  // "When a process dies, its connections are reset": with this option the kernel resets them at the process's end.
  void Accepted(int fd) override { SetLinger(fd, 1); }

  bool GoodEnd(int fd, const std::string& txn) override {
    if (!WriteAll(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\nChunks: 1\r\nElapsed-Work: 40\r\nHigh-Water: 16\r\n\r\n"))
      return false;
    std::istringstream all(RowsOf(txn, rows));
    std::string row;
    for (int i = 1; std::getline(all, row); ++i) {
      if (!WriteAll(fd, row + "\n")) return false;
      if (2 * i == rows && ::write(progress_, "h", 1) < 0) return false;
      SleepMs(20);
    }
    SetLinger(fd, 0);  // the answer is whole: an orderly end
    ::shutdown(fd, SHUT_WR);
    return false;
  }

 private:
  int progress_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6) return 2;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::signal(SIGPIPE, SIG_IGN);
  record.Open(argv[4], std::atof(argv[5]), false);
  ClosingDatabase database(argv[1], std::atoi(argv[3]));
  database.rows = 8;
  database.run_ms = [](const Call&) { return 60.0; };
  database.StartOn(std::atoi(argv[2]));
  for (;;) ::pause();
}
