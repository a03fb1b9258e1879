#pragma once

#include <cstdint>
#include <random>

namespace briarwood::common {

/// Seeded generator that is passed to every component that needs randomness, so that a run can be
/// reproduced from its seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  [[nodiscard]] std::uint64_t Next() { return engine_(); }

  /// \returns a number in [0, bound); `bound` must be positive.
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }

  /// \returns a number in [0, 1).
  [[nodiscard]] double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  [[nodiscard]] bool Chance(double probability) { return Uniform() < probability; }

 private:
  std::mt19937_64 engine_;
};

/// \returns a seed for daemons from the system's random device.
[[nodiscard]] std::uint64_t SystemSeed();

}  // namespace briarwood::common
