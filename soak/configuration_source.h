#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "soak/promises.h"

namespace briarwood::soak {

inline constexpr const char* kHost = "soak.example";
inline constexpr const char* kCustomerA = "north";
inline constexpr const char* kCustomerB = "south";
inline constexpr const char* kKeyA = "key-of-north";
inline constexpr const char* kKeyB = "key-of-south";

[[nodiscard]] std::chrono::milliseconds TimeoutOf(CallKind kind);

/// \returns the configuration of a version. Only it has the route VersionPath(version), so that a
/// call shows which version is in force.
/// \param valid  false adds a mistake for which the configuration must be refused
[[nodiscard]] std::string MakeConfiguration(std::uint64_t version, bool valid);
[[nodiscard]] std::string VersionPath(std::uint64_t version);
/// \returns the version of a configuration made by MakeConfiguration.
[[nodiscard]] std::optional<std::uint64_t> VersionOf(const std::string& content);

}  // namespace briarwood::soak
