// lemoncroft_simulator_adapter: hosts instances of the decision module, which share no state, and speaks the
// simulator's protocol on standard input and output. At the first error, prints a message and exits with 1.
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lemoncroft/gateway.h"
#include "wire.h"

namespace {

using namespace lemoncroft::simulator_adapter;

[[noreturn]] void ThrowTruncated(const char* part, std::size_t got, std::size_t size) {
  throw WireError("input ended inside a batch " + std::string(part) + " after " + std::to_string(got) +
                  " of " + std::to_string(size) + " bytes");
}

// Returns false at the end of input.
bool ReadHeader(std::string& header) {
  header.resize(kBatchHeaderBytes);
  const std::size_t got = std::fread(header.data(), 1, kBatchHeaderBytes, stdin);
  if (got == 0) return false;
  if (got < kBatchHeaderBytes) ThrowTruncated("header", got, kBatchHeaderBytes);
  return true;
}

void ReadBody(std::string& body, std::size_t size) {
  body.resize(size);
  if (size == 0) return;
  const std::size_t got = std::fread(body.data(), 1, size, stdin);
  if (got < size) ThrowTruncated("body", got, size);
}

void WriteReply(const std::string& bytes) {
  const bool written = std::fwrite(bytes.data(), 1, bytes.size(), stdout) == bytes.size();
  if (!written || std::fflush(stdout) != 0) throw WireError("cannot write the reply");
}

// The running instances, by the simulator's instance number.
class InstanceHost {
 public:
  // Stops, starts and steps one instance according to the batch, and adds its actions to the reply.
  void Handle(InstanceBatch& batch, lemoncroft::Nanos now, ReplyWriter& reply) {
    if (batch.stopped) instances_.erase(batch.instance);
    if (batch.started) {
      lemoncroft::Gateway gateway(std::move(batch.settings), batch.seed);
      instances_.insert_or_assign(batch.instance, std::move(gateway));
    }
    const auto it = instances_.find(batch.instance);
    if (it == instances_.end()) {
      if (batch.events.empty()) return;
      throw WireError("event for instance " + std::to_string(batch.instance) + ", which is not running");
    }
    actions_.clear();
    it->second.Step(now, batch.events, actions_);
    reply.Add(batch.instance, actions_);
  }

 private:
  std::map<std::uint16_t, lemoncroft::Gateway> instances_;
  std::vector<lemoncroft::Action> actions_;  // of one step; a member to reuse its memory
};

void Serve() {
  InstanceHost host;
  Decoder decoder;
  ReplyWriter reply;
  std::string header, body;
  while (ReadHeader(header)) {
    const BatchHeader head = DecodeHeader(header);
    ReadBody(body, head.length);
    reply.Clear();
    for (InstanceBatch& batch : decoder.Decode(head, body)) host.Handle(batch, head.now, reply);
    WriteReply(reply.Finish());
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
