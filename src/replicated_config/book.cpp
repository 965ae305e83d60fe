#include "replicated_config/book.h"

#include <algorithm>

#include "codec/msgpack_reader.h"

namespace lemoncroft::replicated_config {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Reader = codec::MsgpackReader;
constexpr codec::MsgpackBounds kBounds{4096, 128, kTextsMost + kTextMost, 8};

enum class EntryKind : std::uint8_t { kChange = 0, kForce = 1 };

std::string Taken(msgpack::sbuffer& body) { return {body.data(), body.size()}; }

}  // namespace

const char* NameOf(Verdict verdict) {
  constexpr const char* kNames[] = {"taken", "conflict", "refused", "unknown"};
  return kNames[static_cast<std::size_t>(verdict)];
}

std::string EntryOf(const Change& change) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(6);
  to.pack(static_cast<std::uint8_t>(EntryKind::kChange));
  to.pack(change.id);
  to.pack(change.from);
  codec::PackBytes(to, change.text);
  to.pack(change.by);
  to.pack(change.at_unix_ms);
  return Taken(body);
}

std::string EntryOf(Version in_force) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(2);
  to.pack(static_cast<std::uint8_t>(EntryKind::kForce));
  to.pack(in_force);
  return Taken(body);
}

std::optional<Outcome> Book::Apply(const std::string& entry) {
  const auto outcome = codec::Guarded(entry, kBounds, [&](Reader& in) -> std::optional<Outcome> {
    if (in.Enum(EntryKind::kForce) == EntryKind::kForce) {
      const auto version = in.Take<std::uint64_t>();
      if (version <= newest_) in_force_ = std::max(in_force_, version);
      Forget();
      return std::nullopt;
    }
    Outcome out;
    out.id = in.Take<std::string>();
    const auto from = in.Take<std::uint64_t>();
    Written written;
    written.text = in.Bytes();
    written.by = in.Take<std::string>();
    written.at_unix_ms = in.Take<std::int64_t>();
    if (const Outcome* before = OutcomeOf(out.id); before != nullptr && guards_.once) return *before;
    if (from != newest_ && guards_.compare) {
      out.verdict = Verdict::kConflict;
      out.version = newest_;
    } else {
      out.verdict = Verdict::kTaken;
      out.version = ++newest_;
      versions_[newest_] = std::move(written);
    }
    if (outcomes_.insert_or_assign(out.id, out).second) order_.push_back(out.id);
    Forget();
    return out;
  });
  return outcome.value_or(std::nullopt);
}

// The oldest go first; never the one in force or the newest.
void Book::Forget() {
  for (; order_.size() > kOutcomesMost; order_.pop_front()) outcomes_.erase(order_.front());
  std::size_t bytes = 0;
  for (const auto& [version, written] : versions_) bytes += written.text.size();
  for (auto it = versions_.begin(); it != versions_.end();) {
    const bool over = bytes > kTextsMost || versions_.size() > kVersionsMost;
    if (!over) break;
    if (it->first >= in_force_) {
      ++it;  // what is to come, or holds
      continue;
    }
    bytes -= it->second.text.size();
    it = versions_.erase(it);
  }
  // Between the one in force and the newest: none of them will ever be in force.
  while ((bytes > kTextsMost || versions_.size() > kVersionsMost) && versions_.size() > 2) {
    const auto it = std::next(versions_.begin());
    if (it->first == newest_) break;
    bytes -= it->second.text.size();
    versions_.erase(it);
  }
}

const Written* Book::Find(Version version) const {
  const auto it = versions_.find(version);
  return it == versions_.end() ? nullptr : &it->second;
}

const Outcome* Book::OutcomeOf(const std::string& id) const {
  const auto it = outcomes_.find(id);
  return it == outcomes_.end() ? nullptr : &it->second;
}

std::string Book::Snapshot() const {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(4);
  to.pack(newest_);
  to.pack(in_force_);
  to.pack_array(static_cast<std::uint32_t>(4 * versions_.size()));
  for (const auto& [version, written] : versions_) {
    to.pack(version);
    codec::PackBytes(to, written.text);
    to.pack(written.by);
    to.pack(written.at_unix_ms);
  }
  to.pack_array(static_cast<std::uint32_t>(3 * order_.size()));
  for (const std::string& id : order_) {
    const Outcome& outcome = outcomes_.at(id);
    to.pack(id);
    to.pack(static_cast<std::uint8_t>(outcome.verdict));
    to.pack(outcome.version);
  }
  return Taken(body);
}

bool Book::Restore(std::string_view snapshot) {
  Book fresh(guards_);
  if (!snapshot.empty()) {
    const auto good = codec::Guarded(snapshot, kBounds, [&](Reader& in) {
      fresh.newest_ = in.Take<std::uint64_t>();
      fresh.in_force_ = in.Take<std::uint64_t>();
      Reader versions(in.Next());
      while (versions.left() > 0) {
        Written& written = fresh.versions_[versions.Take<std::uint64_t>()];
        written.text = versions.Bytes();
        written.by = versions.Take<std::string>();
        written.at_unix_ms = versions.Take<std::int64_t>();
      }
      Reader outcomes(in.Next());
      while (outcomes.left() > 0) {
        Outcome outcome;
        outcome.id = outcomes.Take<std::string>();
        outcome.verdict = outcomes.Enum(Verdict::kUnknown);
        outcome.version = outcomes.Take<std::uint64_t>();
        fresh.order_.push_back(outcome.id);
        fresh.outcomes_[outcome.id] = std::move(outcome);
      }
      return true;
    });
    if (!good) return false;
  }
  *this = std::move(fresh);
  return true;
}

}  // namespace lemoncroft::replicated_config
