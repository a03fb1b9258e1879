#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "soak/invariant_checkers.h"

namespace briarwood::soak {

inline constexpr const char* kHost = "soak.example";
inline constexpr const char* kCustomerA = "north";
inline constexpr const char* kCustomerB = "south";
inline constexpr const char* kKeyA = "key-of-north";
inline constexpr const char* kKeyB = "key-of-south";

[[nodiscard]] std::chrono::milliseconds TimeoutOf(CallKind kind);

/// Makes the configuration with the given version. Only this version has the route
/// VersionPath(version), so that a call shows whether it is in force.
/// \param valid  if false, the configuration contains an error for which it must be rejected
[[nodiscard]] std::string MakeConfiguration(std::uint64_t version, bool valid);
[[nodiscard]] std::string VersionPath(std::uint64_t version);
/// \returns the version of a configuration that MakeConfiguration made.
[[nodiscard]] std::optional<std::uint64_t> ParseVersion(const std::string& content);

}  // namespace briarwood::soak
