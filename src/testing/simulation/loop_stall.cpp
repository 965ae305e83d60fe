#include "testing/simulation/loop_stall.h"

#include <algorithm>
#include <tuple>

#include "storage/worker.h"
#include "testing/simulation/store_workload.h"

namespace lemoncroft::simulation {

using namespace std::chrono_literals;
using runtime::Now;

LoopStall MeasureLoopStallDuringWrites(SimulatedDisk& disk, int writes) {
  runtime::Loop loop;
  storage::Worker worker(loop, StoreOptionsOn(disk));
  std::vector<double> delays;
  bool finished = false;
  LoopStall out;
  const auto tick = [&]() -> runtime::Task<> {
    while (!finished) {
      const runtime::Time due = Now() + 1ms;
      co_await loop.SleepUntil(due);
      delays.push_back(std::chrono::duration<double, std::milli>(Now() - due).count());
    }
    loop.Stop();
  };
  const auto write = [&]() -> runtime::Task<> {
    const runtime::Time start = Now();
    worker.Open();
    co_await worker.NextCompletion();
    for (int i = 0; i < writes; ++i)
      std::ignore = worker.Write(static_cast<std::uint64_t>(i) + 1, WorkloadBatch(i));
    for (int i = 0; i < writes; ++i) co_await worker.NextCompletion();
    out.writes_ms = std::chrono::duration<double, std::milli>(Now() - start).count();
    finished = true;
  };
  loop.Spawn(tick());
  loop.Spawn(write());
  loop.Run();
  std::sort(delays.begin(), delays.end());
  if (delays.empty()) return out;
  out.longest_ms = delays.back();
  out.p99_ms = delays[delays.size() * 99 / 100];
  return out;
}

}  // namespace lemoncroft::simulation
