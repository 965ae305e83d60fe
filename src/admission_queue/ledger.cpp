#include "admission_queue/ledger.h"

#include <algorithm>
#include <cmath>

namespace lemoncroft::admission_queue {

namespace {
// A team whose short requests are handed over apart may be ahead by at least this: a heavy request of its
// own, charged at once, must not hold them up.
constexpr double kLeastLead = 1.0;  // second
}  // namespace

double Ledger::Configure(const std::vector<TeamBudget>& teams, double part, double capacity) {
  double asked = 0;
  for (const TeamBudget& team : teams) asked += team.cores;
  const double scale = asked > capacity && capacity > 0 ? capacity / asked : 1;
  const double newcomer = line_;
  const std::size_t known = accounts_.size();
  accounts_.resize(std::max(known, teams.size()));
  cores_ = 0;
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    Account& account = accounts_[i];
    if (i >= known) account.tag = newcomer;
    const bool gone = i >= teams.size();
    account.cores = gone ? 0 : teams[i].cores * part * scale;
    account.burst = gone ? 0 : Seconds(teams[i].burst);
    // A proxy's part of a small cap is never none.
    account.most_threads = gone || teams[i].threads == 0
                               ? 0
                               : std::max(1, static_cast<int>(std::lround(teams[i].threads * part)));
    cores_ += account.cores;
  }
  UpdateLine();
  return scale;
}

void Ledger::SetCompeting(Team team, bool competing) {
  Account& account = accounts_[team];
  if (account.competing == competing) return;
  if (competing) {
    // With nobody competing all is served as it comes, and nobody is owed anything: the furthest counts.
    double from = line_;
    if (std::none_of(accounts_.begin(), accounts_.end(), [](const Account& a) { return a.competing; })) {
      for (const Account& a : accounts_) from = std::max(from, a.tag);
    }
    account.tag = std::max(account.tag, from - account.burst);
  }
  account.competing = competing;
  UpdateLine();
}

void Ledger::Charge(Team team, Work work) {
  Account& account = accounts_[team];
  work = std::max(work, -account.charged);
  account.charged += work;
  // A team without a budget any more pays nothing: what it has running is the loss of all.
  if (account.cores > 0) account.tag += Seconds(work) / account.cores;
  UpdateLine();
}

bool Ledger::HasThreads(Team team, int threads) const {
  const Account& account = accounts_[team];
  return account.most_threads == 0 || threads <= account.most_threads;
}

double Ledger::Lead(Team team) const { return std::max(kLeastLead, accounts_[team].burst); }

bool Ledger::WithinLead(Team team) const { return accounts_[team].tag <= line_ + Lead(team); }

void Ledger::UpdateLine() {
  double least = HUGE_VAL;
  for (const Account& a : accounts_) {
    if (a.competing) least = std::min(least, a.tag);
  }
  if (least < HUGE_VAL) line_ = least;
}

}  // namespace lemoncroft::admission_queue
