// The codes of the simulator's protocol and the terms that the program uses for them. Names in comments are
// those of the protocol's documentation; error messages use them too.
#ifndef LEMONCROFT_SIMULATOR_ADAPTER_RECORD_CODES_H_
#define LEMONCROFT_SIMULATOR_ADAPTER_RECORD_CODES_H_

#include <cstdint>

namespace lemoncroft::simulator_adapter {

// Records of a batch, from the simulator.
enum class BatchRecordCode : std::uint8_t {
  kStart = 1,
  kEngineList = 2,
  kRequest = 3,
  kStreamStarted = 4,
  kAttemptEnded = 5,
  kRequestCancelled = 6,
  kTimerFired = 7,
  kProbeEnded = 8,
  kPeerMessage = 9,
  kStop = 10,
  kProgressNotice = 11,
  kPage = 12,
  kInstance = 13,  // TargetInstance: selects the instance for the records that follow
};

// Records of a reply, to the simulator.
enum class ReplyRecordCode : std::uint8_t {
  kSend = 1,
  kReject = 2,
  kFail = 3,
  kCancel = 4,
  kWakeAt = 5,
  kProbe = 6,
  kLogLine = 9,
  kWatchList = 11,
  kResourceGrant = 13,
  kInstance = 14,  // identifies the instance that the records that follow are from
};

// Readiness of an engine in a page entry.
enum class ReadinessCode : std::uint8_t { kReady = 1, kRemoved = 2, kDraining = 3 };

// Outcomes and kinds of progress notices are numbered from 1 in the order of the interface's enums.
inline constexpr std::uint16_t kFirstOutcome = 1;
inline constexpr std::uint16_t kLastOutcome = 8;
inline constexpr std::uint8_t kFirstNotice = 1;
inline constexpr std::uint8_t kLastNotice = 3;

// Kinds of engine lists are numbered from 0 in the order of the interface's enum.
inline constexpr std::uint8_t kLastListKind = 3;

// Bits of a request's attributes.
inline constexpr std::uint16_t kAttributeHasWorkEstimate = 1;
inline constexpr std::uint16_t kAttributeIsRepeat = 2;

// Statistics of a served attempt: the milliseconds of work times kStatisticsWorkUnit, plus the memory in
// units of kStatisticsMemoryUnitMb.
inline constexpr std::uint32_t kStatisticsWorkUnit = 4096;
inline constexpr double kStatisticsMemoryUnitMb = 4.0;

}  // namespace lemoncroft::simulator_adapter

#endif  // LEMONCROFT_SIMULATOR_ADAPTER_RECORD_CODES_H_
