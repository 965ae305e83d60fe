// The load of one engine according to its load reports: the number of requests of other gateways that it
// runs, the age of that number, and whether the engine sends reports at all.
//
// The caller passes the current time, in nanoseconds of the decision module's clock, which never runs
// backwards. A report without a usable value counts as missing.
#ifndef LEMONCROFT_REPORTS_REPORTED_LOAD_H_
#define LEMONCROFT_REPORTS_REPORTED_LOAD_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::reports {

// The positions of the usable values that a load report contains according to the settings.
struct ReportLayout {
  std::optional<std::size_t> inflight;  // number of requests in flight; none: no usable reports
  std::optional<std::size_t> memory;    // share of memory granted
  bool in_responses = false;            // otherwise only in the results of probes

  static ReportLayout FromSettings(const Settings& settings);
  bool reports_load() const { return inflight.has_value(); }
};

class ReportedLoad {
 public:
  // Applies the report of a response or a probe. `own` is the current number of requests of this gateway at
  // the engine. Returns true if the report has the number of requests in flight.
  bool Update(const ReportLayout& layout, const LoadReport& report, double own, Nanos now);
  // Records that a report was due and is missing.
  void RecordMissing() { missing_reports_ += missing_reports_ < kMaxMissingReports; }

  // Returns true if the last report is recent enough for decisions.
  bool IsFresh(Nanos now) const { return reported_at_ >= 0 && now - reported_at_ < kFreshDuration; }
  // Returns true if the engine sends no reports although the settings promise them.
  bool IsSilent() const { return missing_reports_ >= kMaxMissingReports; }
  // Returns the number of requests of other gateways at the time of the last report.
  double other_requests() const { return other_requests_; }
  // Estimates the current number of requests of other gateways. Each other gateway that shares the engine has
  // read the same report, and is assumed to have sent as many requests since then as this gateway, which now
  // has `own` requests there.
  double OtherRequestsNow(double own, double gateways) const {
    return std::max(0.0, other_requests_ + (own - own_requests_) * (gateways - 1));
  }
  // Estimates the share of the engine's memory that is granted now, with the same assumption; none if it
  // isn't reported.
  std::optional<double> GrantedMemoryShare(double own, double gateways) const;

 private:
  static constexpr Nanos kFreshDuration = 1'000'000'000;  // a report is fresh for 1 s
  static constexpr int kMaxMissingReports = 3;            // consecutive

  Nanos reported_at_ = -1;
  double other_requests_ = 0;
  double own_requests_ = 0;
  std::optional<double> granted_memory_;
  int missing_reports_ = 0;
};

}  // namespace lemoncroft::reports

#endif  // LEMONCROFT_REPORTS_REPORTED_LOAD_H_
