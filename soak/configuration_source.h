#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "soak/invariant_checkers.h"

namespace briarwood::soak {

inline constexpr const char* kHost = "soak.example";
inline constexpr const char* kCustomerA = "north";
inline constexpr const char* kCustomerB = "south";
/// Owner of the keys that each version adds.
inline constexpr const char* kCustomerC = "west";
inline constexpr const char* kKeyA = "key-of-north";
inline constexpr const char* kKeyB = "key-of-south";

[[nodiscard]] std::chrono::milliseconds TimeoutOf(CallKind kind);

/// Makes the configuration with the given version. Only this version has the route
/// VersionPath(version), so that a call shows whether it is in force. It also has the route
/// KeptPath(v) and the key KeptKey(v) of its own version and of each earlier one in `kept`, so that
/// a refused call shows that a version is not in force yet. \param kept   earlier versions \param
/// valid  if false, the configuration contains an error for which it must be rejected
[[nodiscard]] std::string MakeConfiguration(std::uint64_t version,
                                            const std::vector<std::uint64_t>& kept, bool valid);
[[nodiscard]] std::string VersionPath(std::uint64_t version);
[[nodiscard]] std::string KeptPath(std::uint64_t version);
[[nodiscard]] std::string KeptKey(std::uint64_t version);
/// \returns the version of a configuration that MakeConfiguration made.
[[nodiscard]] std::optional<std::uint64_t> ParseVersion(const std::string& content);

}  // namespace briarwood::soak
