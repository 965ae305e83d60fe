// The load of an engine by its own load reports: how many requests of other gateways it runs, how old that
// figure is, and whether reports come at all.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. Units: requests. Owner: the decision module, one for each engine. Errors: none; a report without
// a usable value counts as missing.
#ifndef LEMONCROFT_REPORTS_REPORTED_LOAD_H_
#define LEMONCROFT_REPORTS_REPORTED_LOAD_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::reports {

// Which usable figures the settings promise in a load report, and where they stand.
struct ReportLayout {
  std::optional<std::size_t> inflight;  // position of the requests in flight; none: no usable reports
  std::optional<std::size_t> memory;    // position of the share of memory granted
  bool in_responses = false;            // else in the results of probes alone

  static ReportLayout FromSettings(const Settings& settings);
  bool reports_load() const { return inflight.has_value(); }
};

class ReportedLoad {
 public:
  // Takes the report of a response or a probe. `own`: requests of this gateway at the engine now. Returns
  // whether the report had the requests in flight.
  bool Update(const ReportLayout& layout, const LoadReport& report, double own, Nanos now);
  // A report was due and none came.
  void RecordMissing() { missing_reports_ += missing_reports_ < kMaxMissingReports; }

  // Whether the last report is recent enough to decide by.
  bool IsFresh(Nanos now) const { return reported_at_ >= 0 && now - reported_at_ < kFreshDuration; }
  // Whether the engine sends no reports although the settings promise them.
  bool IsSilent() const { return missing_reports_ >= kMaxMissingReports; }
  // Requests of other gateways at the time of the last report.
  double other_requests() const { return other_requests_; }
  // The same now. Each other gateway that shares the engine has read the same report, and is assumed to have
  // sent as much since as this one, which now has `own` requests there.
  double OtherRequestsNow(double own, double gateways) const {
    return std::max(0.0, other_requests_ + (own - own_requests_) * (gateways - 1));
  }
  // The share of the engine's memory that is granted now, by the same assumption; none if unreported.
  std::optional<double> GrantedMemoryShare(double own, double gateways) const;

 private:
  static constexpr Nanos kFreshDuration = 1'000'000'000;  // of a report
  static constexpr int kMaxMissingReports = 3;            // in a row

  Nanos reported_at_ = -1;
  double other_requests_ = 0;
  double own_requests_ = 0;
  std::optional<double> granted_memory_;
  int missing_reports_ = 0;
};

}  // namespace lemoncroft::reports

#endif  // LEMONCROFT_REPORTS_REPORTED_LOAD_H_
