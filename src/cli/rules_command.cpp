#include "cli/rules_command.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "peer_transport/link.h"
#include "proxy/config.h"
#include "proxy/replicated_config_call_fields.h"
#include "proxy/voter_store.h"
#include "raft/codec.h"
#include "replicated_config/document.h"
#include "storage/database.h"

namespace lemoncroft::cli {

using nlohmann::ordered_json;
using replicated_config::Document;
using runtime::Now;
using namespace std::chrono_literals;

namespace {

namespace calls = proxy::calls;

constexpr auto kCallTimeout = 12s;
constexpr auto kWaitPollInterval = 200ms;

// Makes one call and returns the response, or an object with the member "error" if there is none.
ordered_json CallProxy(const RulesCommand& command, const ordered_json& call) {
  ordered_json response = {{calls::kError, "no proxy answers"}};
  for (const std::string& address_text : command.addresses) {
    const auto address = runtime::Address::Parse(address_text);
    if (!address) continue;
    runtime::Loop loop;
    bool responded = false;
    const auto call_once = [&]() -> runtime::Task<> {
      const auto bytes =
          co_await peer_transport::CallPeer(loop, command.fleet, *address, call.dump(), Now() + kCallTimeout);
      if (bytes) {
        response = ordered_json::parse(*bytes, nullptr, false);
        responded = response.is_object();
      }
      loop.Stop();
    };
    loop.Spawn(call_once());
    loop.Run();
    if (responded) break;
    response = {{calls::kError, "no answer from " + address_text}};
  }
  return response;
}

int ReportNoResponse(const ordered_json& response) {
  std::fprintf(stderr, "lemoncroft: rules: %s\n",
               response.value(calls::kError, std::string("no answer")).c_str());
  return kRulesNoResponse;
}

Document ParseOrThrow(const std::string& text, const char* document_name) {
  auto read = replicated_config::ParseDocument(text);
  if (!read) throw proxy::ConfigError(std::string(document_name) + ":\n" + read.error().Text());
  return std::move(*read);
}

std::string FetchDocument(const RulesCommand& command, std::uint64_t version) {
  if (version == 0) return {};
  const ordered_json response =
      CallProxy(command, {{calls::kCall, calls::kGetDocument}, {calls::kVersion, version}});
  if (response.contains(calls::kError)) throw proxy::ConfigError(response[calls::kError].get<std::string>());
  return response.at(calls::kDocument).get<std::string>();
}

std::uint64_t TimeoutMs(const RulesCommand& command) {
  return static_cast<std::uint64_t>(1000 * command.timeout_s);
}

std::string FormatTime(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

int Show(const RulesCommand& command) {
  const ordered_json status = CallProxy(command, {{calls::kCall, calls::kGetStatus}});
  if (status.contains(calls::kError)) return ReportNoResponse(status);
  if (command.json) return std::printf("%s\n", status.dump().c_str()) < 0;
  const auto version = status.at("version").get<std::uint64_t>();
  std::printf("%s of fleet %s: acts on version %llu%s; newest %llu; lease for %.0f ms; leader %s%s\n",
              status.at("proxy").get<std::string>().c_str(), status.at("fleet").get<std::string>().c_str(),
              static_cast<unsigned long long>(version),
              status.at("cut_off").get<bool>() ? " NO LONGER: CUT OFF" : "",
              status.at("newest").get<unsigned long long>(), status.at("lease_left_ms").get<double>(),
              status.at("leader").get<std::string>().empty() ? "unknown"
                                                             : status.at("leader").get<std::string>().c_str(),
              status.at("rates_apart").get<bool>() ? "; ITS CLOCK RUNS APART" : "");
  std::printf("%-20s %4s %-8s %s\n", "proxy", "gen", "status", "in force/prepared");
  for (const ordered_json& proxy_state : status.at("proxies"))
    std::printf("%-20s %4u %-8s %s\n", proxy_state.at("name").get<std::string>().c_str(),
                proxy_state.at("generation").get<unsigned>(),
                proxy_state.at("alive").get<bool>() ? "alive" : "gone",
                proxy_state.at("rules").get<std::string>().c_str());
  if (version > 0) std::printf("\n%s", FetchDocument(command, version).c_str());
  return status.at("cut_off").get<bool>() ? kRulesIncomplete : kRulesDone;
}

int History(const RulesCommand& command) {
  const ordered_json response = CallProxy(command, {{calls::kCall, calls::kGetHistory}});
  if (response.contains(calls::kError)) return ReportNoResponse(response);
  if (command.json) return std::printf("%s\n", response.dump().c_str()) < 0;
  for (const ordered_json& v : response.at("versions"))
    std::printf("%6llu %s %7zu bytes %s%s\n", v.at("version").get<unsigned long long>(),
                FormatTime(v.at("at_unix_ms").get<std::int64_t>()).c_str(), v.at("bytes").get<std::size_t>(),
                v.at("by").get<std::string>().c_str(), v.at("in_force").get<bool>() ? " (in force)" : "");
  return kRulesDone;
}

int ReportOutcome(const RulesCommand& command, const ordered_json& response) {
  if (response.contains(calls::kError)) return ReportNoResponse(response);
  const std::string outcome = response.at(calls::kOutcome).get<std::string>();
  const std::string reason = response.at(calls::kReason).get<std::string>();
  if (command.json)
    std::printf("%s\n", response.dump().c_str());
  else
    std::printf("%s: version %llu%s%s\n", outcome.c_str(),
                response.at(calls::kVersion).get<unsigned long long>(), reason.empty() ? "" : ": ",
                reason.c_str());
  if (outcome == calls::kCommitted) return kRulesDone;
  if (outcome == calls::kConflict) return kRulesConflict;
  return outcome == calls::kRejected ? kRulesRejected : kRulesUnknown;
}

int Propose(const RulesCommand& command, const Document& to) {
  std::uint64_t base_version = command.first;
  if (base_version == 0) {
    const ordered_json read =
        CallProxy(command, {{calls::kCall, calls::kReadCommitted}, {calls::kTimeoutMs, 2000}});
    if (read.contains(calls::kError)) return ReportNoResponse(read);
    if (read.at(calls::kOutcome) != calls::kCommitted) return ReportOutcome(command, read);
    base_version = read.at(calls::kLatestVersion).get<std::uint64_t>();
  }
  const Document base = ParseOrThrow(FetchDocument(command, base_version), "the version it is made from");
  const std::vector<std::string> differences = replicated_config::Differences(base, to);
  if (!command.json) {
    std::printf("from version %llu:\n", static_cast<unsigned long long>(base_version));
    for (const std::string& line : differences) std::printf("  %s\n", line.c_str());
  }
  const char* user = std::getenv("USER");
  const ordered_json call = {{calls::kCall, calls::kPropose},
                             {calls::kBaseVersion, base_version},
                             {calls::kDocument, replicated_config::SerializeDocument(to)},
                             {calls::kAuthor, user == nullptr ? "an operator" : user},
                             {calls::kTimeoutMs, TimeoutMs(command)}};
  return ReportOutcome(command, CallProxy(command, call));
}

int Wait(const RulesCommand& command) {
  const auto deadline =
      Now() + std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(command.timeout_s));
  std::string last_line;
  for (;;) {
    const ordered_json status = CallProxy(command, {{calls::kCall, calls::kGetStatus}});
    if (status.contains(calls::kError)) return ReportNoResponse(status);
    std::size_t alive = 0, up_to_date = 0;
    std::string missing;
    for (const ordered_json& proxy_state : status.at("proxies")) {
      if (!proxy_state.at("alive").get<bool>()) continue;
      ++alive;
      const std::string published = proxy_state.at("rules").get<std::string>();
      const bool is_up_to_date = std::strtoull(published.c_str(), nullptr, 10) >= command.first &&
                                 published.find("cut-off") == std::string::npos && !published.empty();
      up_to_date += is_up_to_date;
      if (!is_up_to_date) missing += " " + proxy_state.at("name").get<std::string>();
    }
    const std::string line = std::to_string(up_to_date) + " of " + std::to_string(alive) +
                             " proxies are on version " + std::to_string(command.first) + " or later" +
                             (missing.empty() ? "" : "; not yet:" + missing);
    if (line != last_line && !command.json) std::printf("%s\n", line.c_str()), std::fflush(stdout);
    last_line = line;
    const bool done = up_to_date == alive;
    if (done || Now() >= deadline) {
      if (command.json)
        std::printf("%s\n",
                    ordered_json{{"on", up_to_date}, {"alive", alive}, {"done", done}}.dump().c_str());
      return done ? kRulesDone : kRulesIncomplete;
    }
    std::this_thread::sleep_for(kWaitPollInterval);
  }
}

// `path` "-" stands for standard input.
std::string ReadDocumentFile(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
  } else {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw proxy::ConfigError(path + ": cannot be read");
    text << file.rdbuf();
  }
  return text.str();
}

int Revert(const RulesCommand& command) {
  RulesCommand from_latest = command;
  from_latest.first = 0;
  return Propose(from_latest,
                 ParseOrThrow(FetchDocument(command, command.first), "the version to go back to"));
}

int Diff(const RulesCommand& command) {
  const auto lines =
      replicated_config::Differences(ParseOrThrow(FetchDocument(command, command.first), "the first"),
                                     ParseOrThrow(FetchDocument(command, command.second), "the second"));
  for (const std::string& line : lines) std::printf("%s\n", line.c_str());
  return kRulesDone;
}

int ChangeVoters(const RulesCommand& command) {
  const ordered_json call = {{calls::kCall, calls::kChangeVoters},
                             {calls::kVoterChange, command.voter_change},
                             {calls::kVoterName, command.proxy_name},
                             {calls::kTimeoutMs, TimeoutMs(command)}};
  return ReportOutcome(command, CallProxy(command, call));
}

// The part of a store's contents that recovery needs.
struct StoreState {
  std::string store_id;
  raft::HardState hard_state;
  raft::Index last_index = 0;  // of the log
};

StoreState ReadStoreState(const storage::StoreContents& contents) {
  StoreState state;
  raft::Snapshot snapshot;
  const auto& records = contents.records;
  if (const auto it = records.find(proxy::kRecordHardState); it != records.end())
    state.hard_state = raft::DecodeHardState(it->second).value_or(state.hard_state);
  if (const auto it = records.find(proxy::kRecordSnapshot); it != records.end())
    snapshot = raft::DecodeSnapshot(it->second).value_or(snapshot);
  const auto store_id = records.find(proxy::kRecordStoreId);
  state.store_id = store_id == records.end() ? "1" : store_id->second;
  state.last_index = contents.log.empty() ? snapshot.index : contents.log.rbegin()->first;
  return state;
}

// Returns a batch that appends an entry, in a new term, which makes `voter` the only voter.
storage::WriteBatch SingleVoterBatch(const StoreState& state, const std::string& voter) {
  raft::Entry entry;
  entry.term = state.hard_state.term + 1;
  entry.index = state.last_index + 1;
  entry.kind = raft::EntryKind::kVoters;
  entry.voters = {voter};
  const raft::HardState hard_state = {entry.term, voter};
  storage::WriteBatch batch;
  batch.records = {{proxy::kRecordHardState, raft::Encode(hard_state)},
                   {proxy::kRecordBootstrapVoters, voter + " " + state.store_id + "\n"}};
  batch.log.emplace_back(entry.index, raft::Encode(entry));
  return batch;
}

int AskForConfirmation(const RulesCommand& command, const std::string& confirmation) {
  std::printf(
      "Nothing is changed. This makes %s the only voter; what other voters committed and this store "
      "lacks is lost, and a voter of the old fleet that is started again must be kept away.\n"
      "Do it only where a majority of the voters' stores is gone for good, then say: --confirm %s\n",
      command.proxy_name.c_str(), confirmation.c_str());
  return kRulesRejected;
}

// Recovers from the permanent loss of a majority of the stores: this store becomes that of the fleet, with
// its proxy as the only voter. Committed entries that are not in this store are lost.
int RecoverFromOneStore(const RulesCommand& command) {
  storage::Database::Options options;
  options.path = command.store;
  options.owner = command.fleet + "/" + command.proxy_name;
  if (!std::ifstream(command.store)) throw proxy::ConfigError(command.store + ": no store there");
  storage::Database database(options);
  const auto opened = database.Open();
  if (!opened) throw proxy::ConfigError(opened.error().ToString());
  const StoreState state = ReadStoreState(*opened);
  const auto term = static_cast<unsigned long long>(state.hard_state.term);
  const auto last_index = static_cast<unsigned long long>(state.last_index);
  std::printf("store %s: term %llu, log up to %llu\n", command.store.c_str(), term, last_index);
  const std::string confirmation =
      command.fleet + ":" + std::to_string(term) + ":" + std::to_string(last_index);
  if (command.confirm != confirmation) return AskForConfirmation(command, confirmation);
  if (const auto written = database.Write(SingleVoterBatch(state, command.proxy_name)); !written)
    throw proxy::ConfigError(written.error().ToString());
  std::printf(
      "%s is the only voter from log entry %llu on. Start it, then let others in: rules voters in NAME\n",
      command.proxy_name.c_str(), last_index + 1);
  return kRulesDone;
}

}  // namespace

int RunRules(const RulesCommand& command) {
  switch (command.action) {
    case RulesAction::kShow:
      return Show(command);
    case RulesAction::kHistory:
      return History(command);
    case RulesAction::kPropose:
      return Propose(command, ParseOrThrow(ReadDocumentFile(command.file), command.file.c_str()));
    case RulesAction::kDiff:
      return Diff(command);
    case RulesAction::kRevert:
      return Revert(command);
    case RulesAction::kWait:
      return Wait(command);
    case RulesAction::kChangeVoters:
      return ChangeVoters(command);
    case RulesAction::kRecover:
      return RecoverFromOneStore(command);
  }
  return Show(command);
}

}  // namespace lemoncroft::cli
