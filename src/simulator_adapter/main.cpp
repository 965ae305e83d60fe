// lemoncroft_simulator_adapter: hosts gateway instances that share nothing and speaks the bench's wire on
// standard input and output.
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

#include "lemoncroft/gateway.h"
#include "wire.h"

namespace {

// Reads exactly n bytes; false at a clean end of input before the first of them.
bool ReadExactly(std::string& into, std::size_t n, const char* what) {
  into.resize(n);
  std::size_t got = std::fread(into.data(), 1, n, stdin);
  if (got == n) return true;
  if (got == 0 && what == nullptr) return false;
  throw lemoncroft::simulator_adapter::WireError("input ended inside a batch " +
                                                 std::string(what ? what : "header") + " after " +
                                                 std::to_string(got) + " of " + std::to_string(n) + " bytes");
}

void Serve() {
  using namespace lemoncroft::simulator_adapter;
  std::map<std::uint16_t, lemoncroft::Gateway> instances;
  Decoder decoder;
  ReplyWriter reply;
  std::string header, body;
  std::vector<lemoncroft::Action> actions;
  while (ReadExactly(header, kBatchHeaderBytes, nullptr)) {
    const BatchHeader head = DecodeHeader(header);
    if (head.length > 0) ReadExactly(body, head.length, "body");
    body.resize(head.length);
    reply.Clear();
    for (InstanceBatch& batch : decoder.Decode(head, body)) {
      if (batch.stopped) instances.erase(batch.instance);
      if (batch.started) {
        instances.insert_or_assign(batch.instance,
                                   lemoncroft::Gateway(std::move(batch.settings), batch.seed));
      }
      auto it = instances.find(batch.instance);
      if (it == instances.end()) {
        if (batch.events.empty()) continue;
        throw WireError("event for instance " + std::to_string(batch.instance) + ", which is not running");
      }
      actions.clear();
      it->second.Step(head.now, batch.events, actions);
      reply.Add(batch.instance, actions);
    }
    const std::string& bytes = reply.Finish();
    if (std::fwrite(bytes.data(), 1, bytes.size(), stdout) != bytes.size() || std::fflush(stdout) != 0) {
      throw WireError("cannot write the reply");
    }
  }
}

}  // namespace

int main() {
  try {
    Serve();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "lemoncroft_simulator_adapter: %s\n", e.what());
    return 1;
  }
}
