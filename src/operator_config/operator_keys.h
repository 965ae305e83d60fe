// The keys of the operator's file (deploy/operator.kdl), and the terms that the program uses for them. The
// parser of the file takes all keys from here.
#ifndef LEMONCROFT_OPERATOR_CONFIG_OPERATOR_KEYS_H_
#define LEMONCROFT_OPERATOR_CONFIG_OPERATOR_KEYS_H_

namespace lemoncroft::operator_config::keys {

// Blocks, each of which enables a part of the proxy.
inline constexpr const char* kAdmissionQueue = "waiting";
inline constexpr const char* kFleet = "fleet";
inline constexpr const char* kReplicatedConfig = "rules";

// The admission queue; see docs/operating-waiting.md.
namespace queue {
inline constexpr const char* kAgeing = "ageing";
inline constexpr const char* kHeavyThreadsPerCore = "level";
inline constexpr const char* kMaxWaiting = "most";
inline constexpr const char* kReportEstimates = "tell-clients";
inline constexpr const char* kStateFile = "state";
inline constexpr const char* kClass = "class";
inline constexpr const char* kTenant = "team";
// Keys of a class.
inline constexpr const char* kMaxWait = "wait-most";
inline constexpr const char* kPriorityWeight = "worth";
inline constexpr const char* kIsLight = "light";
// Keys of a tenant.
inline constexpr const char* kCores = "cores";
inline constexpr const char* kBurst = "burst";
inline constexpr const char* kMaxThreads = "threads";
inline constexpr const char* kTenantMaxWaiting = "waiting";
inline constexpr const char* kBarredClass = "bar";
}  // namespace queue

// The fleet; see docs/operating-peers.md.
namespace fleet {
inline constexpr const char* kListen = "listen";
inline constexpr const char* kAdvertise = "advertise";
inline constexpr const char* kSeeds = "seeds";
inline constexpr const char* kZone = "zone";
inline constexpr const char* kStateFile = "state-file";
inline constexpr const char* kProbeInterval = "period";
inline constexpr const char* kFailedRetention = "remember";
inline constexpr const char* kMaxMembers = "most";
}  // namespace fleet

// The replicated configuration; see docs/operating-rules.md.
namespace replicated_config {
inline constexpr const char* kVoters = "voters";
inline constexpr const char* kStore = "store";
inline constexpr const char* kLeaseDuration = "lease";
inline constexpr const char* kRenewalInterval = "beat";
}  // namespace replicated_config

}  // namespace lemoncroft::operator_config::keys

#endif  // LEMONCROFT_OPERATOR_CONFIG_OPERATOR_KEYS_H_
