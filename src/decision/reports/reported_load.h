// What the decision module knows of an engine's load by the engine's own reports: how many queries of other
// gateways it holds, how old that figure is, and whether reports come at all.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. Units: queries. Errors: none; a report without a usable value counts as missing.
#ifndef LEMONCROFT_REPORTS_REPORTED_LOAD_H_
#define LEMONCROFT_REPORTS_REPORTED_LOAD_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::reports {

// Which reports the settings promise, as far as the module can use them.
struct Promise {
  std::optional<std::size_t> inflight;  // its position in a report; none: reports tell nothing of use
  std::optional<std::size_t> memory;    // likewise of the share of memory granted
  bool in_answers = false;              // else in the results of probes alone

  static Promise Of(const Settings& settings);
  bool promised() const { return inflight.has_value(); }
};

class ReportedLoad {
 public:
  // Takes the report of an answer or a probe, of which `own` queries are this gateway's. Returns whether it
  // told the engine's load.
  bool Take(const Promise& promise, const LoadReport& report, double own, Nanos now);
  // A report was due and none came.
  void Missed() { missed_ += missed_ < kMaxMissedReports; }

  // Whether the last report is young enough to decide by.
  bool Fresh(Nanos now) const { return at_ >= 0 && now - at_ < kFreshFor; }
  // Whether the engine doesn't keep the promise: what depends on its reports goes on without them.
  bool Silent() const { return missed_ >= kMaxMissedReports; }
  // Queries that other gateways run there, by the last report.
  double others() const { return others_; }
  // The same now, when this gateway has `own` there: the others have read the same report, and each is taken
  // to have sent as much since.
  double Others(double own, double gateways) const {
    return std::max(0.0, others_ + (own - own_) * (gateways - 1));
  }
  // The share of the engine's memory that is granted, with `own` queries of this gateway there now in the
  // place of those at the last report. Nothing where reports don't tell it.
  std::optional<double> MemoryGranted(double own, double gateways) const;

 private:
  static constexpr Nanos kFreshFor = 1'000'000'000;  // a load older than this has changed
  static constexpr int kMaxMissedReports = 3;        // in a row: one or two may be lost with their answers

  Nanos at_ = -1;
  double others_ = 0, own_ = 0;
  std::optional<double> memory_;
  int missed_ = 0;
};

}  // namespace lemoncroft::reports

#endif  // LEMONCROFT_REPORTS_REPORTED_LOAD_H_
