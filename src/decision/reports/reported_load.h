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

// Which reports the settings layout, as far as the module can use them.
struct ReportLayout {
  std::optional<std::size_t> inflight;  // its position in a report; none: reports tell nothing of use
  std::optional<std::size_t> memory;    // likewise of the share of memory granted
  bool in_responses = false;            // else in the results of probes alone

  static ReportLayout FromSettings(const Settings& settings);
  bool tells_load() const { return inflight.has_value(); }
};

class ReportedLoad {
 public:
  // Takes the report of an answer or a probe, of which `own` queries are this gateway's. Returns whether it
  // told the engine's load.
  bool Update(const ReportLayout& layout, const LoadReport& report, double own, Nanos now);
  // A report was due and none came.
  void RecordMissing() { missing_reports_ += missing_reports_ < kMaxMissingReports; }

  // Whether the last report is young enough to decide by.
  bool IsFresh(Nanos now) const { return reported_at_ >= 0 && now - reported_at_ < kFreshDuration; }
  // Whether the engine doesn't keep the layout: what depends on its reports goes on without them.
  bool IsSilent() const { return missing_reports_ >= kMaxMissingReports; }
  // Queries that other gateways run there, by the last report.
  double other_requests() const { return other_requests_; }
  // The same now, when this gateway has `own` there: the others have read the same report, and each is taken
  // to have sent as much since.
  double OtherRequests(double own, double gateways) const {
    return std::max(0.0, other_requests_ + (own - own_requests_) * (gateways - 1));
  }
  // The share of the engine's memory that is granted, with `own` queries of this gateway there now in the
  // position of those at the last report. Nothing where reports don't tell it.
  std::optional<double> GrantedMemoryShare(double own, double gateways) const;

 private:
  static constexpr Nanos kFreshDuration = 1'000'000'000;  // a load older than this has changed
  static constexpr int kMaxMissingReports = 3;  // in a row: one or two may be lost with their answers

  Nanos reported_at_ = -1;
  double other_requests_ = 0, own_requests_ = 0;
  std::optional<double> granted_memory_;
  int missing_reports_ = 0;
};

}  // namespace lemoncroft::reports

#endif  // LEMONCROFT_REPORTS_REPORTED_LOAD_H_
