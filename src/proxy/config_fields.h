// The names of the members of config.json. The keys of its settings are in settings/setting_fields.h.
// README.md has a table of the members.
#ifndef LEMONCROFT_PROXY_CONFIG_FIELDS_H_
#define LEMONCROFT_PROXY_CONFIG_FIELDS_H_

namespace lemoncroft::proxy::fields {

inline constexpr const char* kName = "name";
inline constexpr const char* kListenAddress = "listen";
inline constexpr const char* kAdminAddress = "management";
inline constexpr const char* kSeed = "seed";
inline constexpr const char* kLimits = "limits";
inline constexpr const char* kMemoryMb = "memory_mb";      // member of kLimits
inline constexpr const char* kMaxDescriptors = "sockets";  // member of kLimits
inline constexpr const char* kControlFeed = "feed";
inline constexpr const char* kKnownEvents = "known";      // the control feed's events up to now
inline constexpr const char* kKnownEventList = "events";  // member of kKnownEvents
inline constexpr const char* kSettings = "settings";

// Environment variables.
inline constexpr const char* kInheritedListenerVariable = "PROXY_FD";
inline constexpr const char* kAdminAddressVariable = "PROXY_MANAGEMENT";
inline constexpr const char* kConfigPathVariable = "PROXY_CONFIG";

}  // namespace lemoncroft::proxy::fields

#endif  // LEMONCROFT_PROXY_CONFIG_FIELDS_H_
