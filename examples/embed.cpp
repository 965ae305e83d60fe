// A minimal host of the decision module: one engine, one request, and a response after 5 ms.
#include <cstdio>
#include <memory>

#include "lemoncroft/gateway.h"

int main() {
  using namespace lemoncroft;
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = 500'000'000;
  settings.classes[0].client_timeout = 2'000'000'000;
  settings.kinds = {{8, 16384}};
  Gateway gateway(settings, /*seed=*/1);

  EngineEntry engine;
  engine.engine = 42;
  Request request;
  request.id = 7;
  request.client_timeout = 2'000'000'000;
  EngineList list{ListKind::kFull, std::make_shared<const std::vector<EngineEntry>>(1, engine)};

  std::vector<Action> actions;
  gateway.Step(1'000'000'000, std::vector<Event>{list, request}, actions);
  bool sent = false;
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      std::printf("request %d is sent to engine %d\n", static_cast<int>(send->id),
                  static_cast<int>(send->engine));
      sent = send->id == 7 && send->engine == 42;
    }
  }
  AttemptEnded served;
  served.id = 7;
  served.engine = 42;
  served.elapsed = 5'000'000;
  served.request_finished = true;
  gateway.Step(1'005'000'000, std::vector<Event>{served}, actions);
  return sent ? 0 : 1;
}
