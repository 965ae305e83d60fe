// Steps the waiting line: when something has happened to it, and when it is due. Knows which engines are
// ready and how many cores they have, from the lists that are told to the decision module too.
#ifndef LEMONCROFT_BROKER_LINE_HOST_H_
#define LEMONCROFT_BROKER_LINE_HOST_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "admission_queue/line.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::broker {

class LineHost {
 public:
  // `carry_out` is handed every decision but log lines, in order.
  LineHost(runtime::Loop& loop, admission_queue::Settings settings, std::vector<KindSettings> kinds,
           std::function<void(const admission_queue::Decision&)> carry_out)
      : loop_(loop),
        settings_(settings),
        line_(std::move(settings)),
        kinds_(std::move(kinds)),
        carry_out_(std::move(carry_out)) {}

  runtime::Task<> Run();
  void TellList(const EngineList& list);
  void set_kinds(std::vector<KindSettings> kinds) { kinds_ = std::move(kinds); }
  void Configure(admission_queue::Settings settings);
  // So many proxies share the fleet's budgets; before, what the settings told.
  void Divide(int proxies);

  admission_queue::Line::Taken Take(const admission_queue::Ticket& ticket);
  void Sent(RequestId id, int attempt, int priority);
  void Ended(RequestId id, int attempt, admission_queue::Work told, bool ran);
  void Done(RequestId id);
  runtime::Span ComeBack(admission_queue::Team team, admission_queue::Klass klass);
  admission_queue::Line::State Describe() { return line_.Describe(runtime::Now()); }

 private:
  double Cores() const;

  runtime::Loop& loop_;
  admission_queue::Settings settings_;
  std::optional<int> proxies_;
  admission_queue::Line line_;
  std::vector<KindSettings> kinds_;
  std::function<void(const admission_queue::Decision&)> carry_out_;
  std::map<EngineId, double> ready_;  // cores of the engines that may be sent to
  runtime::Gate work_;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_LINE_HOST_H_
