#include "replicated_config/config_state_machine.h"

#include <algorithm>

#include "codec/msgpack_reader.h"

namespace lemoncroft::replicated_config {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Reader = codec::MsgpackReader;
// In order: elements per array, bytes per text, bytes per binary field, and depth of nesting.
constexpr codec::MsgpackLimits kDecodingLimits{4096, 128, kMaxStoredDocumentBytes + kMaxDocumentBytes, 8};

enum class EntryKind : std::uint8_t { kChange = 0, kActivate = 1 };

std::string BytesOf(msgpack::sbuffer& body) { return {body.data(), body.size()}; }

}  // namespace

const char* NameOf(ChangeStatus status) {
  constexpr const char* kNames[] = {"taken", "conflict", "refused", "unknown"};
  return kNames[static_cast<std::size_t>(status)];
}

std::string EncodeEntry(const ConfigChange& change) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(6);
  to.pack(static_cast<std::uint8_t>(EntryKind::kChange));
  to.pack(change.id);
  to.pack(change.base_version);
  codec::PackBytes(to, change.document);
  to.pack(change.author);
  to.pack(change.proposed_at_unix_ms);
  return BytesOf(body);
}

std::string EncodeEntry(Version active_version) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(2);
  to.pack(static_cast<std::uint8_t>(EntryKind::kActivate));
  to.pack(active_version);
  return BytesOf(body);
}

std::optional<ChangeOutcome> ConfigStateMachine::Apply(const std::string& entry) {
  const auto outcome =
      codec::UnpackArray(entry, kDecodingLimits, [&](Reader& in) -> std::optional<ChangeOutcome> {
        if (in.Enum(EntryKind::kActivate) == EntryKind::kActivate) {
          const auto version = in.Take<std::uint64_t>();
          if (version <= latest_version_) active_version_ = std::max(active_version_, version);
          EnforceLimits();
          return std::nullopt;
        }
        ChangeOutcome out;
        out.id = in.Take<std::string>();
        const auto base_version = in.Take<std::uint64_t>();
        VersionRecord record;
        record.document = in.Bytes();
        record.author = in.Take<std::string>();
        record.proposed_at_unix_ms = in.Take<std::int64_t>();
        if (const ChangeOutcome* before = FindOutcome(out.id); before != nullptr && safety_checks_.idempotent)
          return *before;
        if (base_version != latest_version_ && safety_checks_.compare_and_set) {
          out.status = ChangeStatus::kConflict;
          out.version = latest_version_;
        } else {
          out.status = ChangeStatus::kCommitted;
          out.version = ++latest_version_;
          versions_[latest_version_] = std::move(record);
        }
        if (outcomes_.insert_or_assign(out.id, out).second) outcome_order_.push_back(out.id);
        EnforceLimits();
        return out;
      });
  return outcome.value_or(std::nullopt);
}

// Drops outcomes and versions that exceed the limits, oldest first, but never the active version or the
// latest one.
void ConfigStateMachine::EnforceLimits() {
  for (; outcome_order_.size() > kMaxOutcomes; outcome_order_.pop_front())
    outcomes_.erase(outcome_order_.front());
  std::size_t bytes = 0;
  for (const auto& [version, record] : versions_) bytes += record.document.size();
  for (auto it = versions_.begin(); it != versions_.end();) {
    const bool exceeds_limit = bytes > kMaxStoredDocumentBytes || versions_.size() > kMaxVersions;
    if (!exceeds_limit) break;
    if (it->first >= active_version_) {
      ++it;  // only versions before the active one are dropped here
      continue;
    }
    bytes -= it->second.document.size();
    it = versions_.erase(it);
  }
  // If the versions still exceed a limit, those between the active and the latest one are dropped, too. They
  // are normally skipped, since a leader activates only the latest version.
  while ((bytes > kMaxStoredDocumentBytes || versions_.size() > kMaxVersions) && versions_.size() > 2) {
    const auto it = std::next(versions_.begin());
    if (it->first == latest_version_) break;
    bytes -= it->second.document.size();
    versions_.erase(it);
  }
}

const VersionRecord* ConfigStateMachine::Find(Version version) const {
  const auto it = versions_.find(version);
  return it == versions_.end() ? nullptr : &it->second;
}

const ChangeOutcome* ConfigStateMachine::FindOutcome(const std::string& id) const {
  const auto it = outcomes_.find(id);
  return it == outcomes_.end() ? nullptr : &it->second;
}

std::string ConfigStateMachine::Snapshot() const {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(4);
  to.pack(latest_version_);
  to.pack(active_version_);
  to.pack_array(static_cast<std::uint32_t>(4 * versions_.size()));
  for (const auto& [version, record] : versions_) {
    to.pack(version);
    codec::PackBytes(to, record.document);
    to.pack(record.author);
    to.pack(record.proposed_at_unix_ms);
  }
  to.pack_array(static_cast<std::uint32_t>(3 * outcome_order_.size()));
  for (const std::string& id : outcome_order_) {
    const ChangeOutcome& outcome = outcomes_.at(id);
    to.pack(id);
    to.pack(static_cast<std::uint8_t>(outcome.status));
    to.pack(outcome.version);
  }
  return BytesOf(body);
}

bool ConfigStateMachine::Restore(std::string_view snapshot) {
  ConfigStateMachine restored(safety_checks_);
  if (!snapshot.empty()) {
    const auto decoded = codec::UnpackArray(snapshot, kDecodingLimits, [&](Reader& in) {
      restored.latest_version_ = in.Take<std::uint64_t>();
      restored.active_version_ = in.Take<std::uint64_t>();
      Reader versions(in.Next());
      while (versions.left() > 0) {
        VersionRecord& record = restored.versions_[versions.Take<std::uint64_t>()];
        record.document = versions.Bytes();
        record.author = versions.Take<std::string>();
        record.proposed_at_unix_ms = versions.Take<std::int64_t>();
      }
      Reader outcomes(in.Next());
      while (outcomes.left() > 0) {
        ChangeOutcome outcome;
        outcome.id = outcomes.Take<std::string>();
        outcome.status = outcomes.Enum(ChangeStatus::kUnknown);
        outcome.version = outcomes.Take<std::uint64_t>();
        restored.outcome_order_.push_back(outcome.id);
        restored.outcomes_[outcome.id] = std::move(outcome);
      }
      return true;
    });
    if (!decoded) return false;
  }
  *this = std::move(restored);
  return true;
}

}  // namespace lemoncroft::replicated_config
