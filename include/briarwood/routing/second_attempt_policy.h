#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "briarwood/common/time.h"
#include "briarwood/routing/answer_time_window.h"

namespace briarwood::routing {

struct SecondAttemptOptions {
  /// Second attempts as a share of the requests of a service; 0 disables them.
  double ratio = 0;
  /// Attempts of a route that second attempts leave for retries.
  std::uint32_t reserved_attempts = 1;
};

/// Indications that a service is at its limit.
enum class LoadSign : std::uint8_t {
  /// Requests wait for a server.
  kQueue,
  /// Prompts are held back, see PromptLimiter.
  kPromptLimit,
  /// A server has rejected a request because it is full.
  kRejection,
  /// A server states a limit or leaves.
  kServerStatement,
  /// Most of the retry budget of the service is spent.
  kRetryBudget,
};

[[nodiscard]] std::string_view NameOf(LoadSign sign);

/// Decides when a request whose answer is slow gets a second attempt at another server.
///
/// The delay follows from the recent answers on the route. The second attempts of a service are
/// limited to a share of its requests, and there are none while the service is at its limit and for
/// a while after that: they would add work where there is too much. Not thread-safe.
class SecondAttemptPolicy {
 public:
  explicit SecondAttemptPolicy(SecondAttemptOptions options) : options_(options) {}

  [[nodiscard]] bool enabled() const noexcept { return options_.ratio > 0; }

  /// Records a new request. Must not be called for retries.
  void OnRequest(const std::string& service);
  /// Records a successful answer.
  /// \param time  time from the first attempt to the first byte of either attempt
  void OnAnswer(const std::string& route, common::Duration time, common::Time now);

  /// \returns the time after the first attempt at which a second one starts, or nothing while the
  ///   recent answers on the route are too few.
  /// \param max  time after which the first attempt counts as stalled
  [[nodiscard]] std::optional<common::Duration> Delay(const std::string& route,
                                                      common::Duration max, common::Time now) const;
  /// \returns true if a second attempt leaves enough of the attempts that the route permits.
  /// \param used  number of servers that may have run the request, with the first attempt's
  [[nodiscard]] bool LeavesAttempts(std::uint32_t max_attempts, std::size_t used) const noexcept;

  /// Records that one of the signs of load was seen.
  /// \returns true if this ends the second attempts of the service for now.
  [[nodiscard]] bool OnLoadSign(const std::string& service, common::Time now);
  /// \returns true if second attempts of the service begin again.
  [[nodiscard]] bool Resume(const std::string& service, common::Time now);

  [[nodiscard]] bool MayStart(const std::string& service) const;
  /// Counts a second attempt. MayStart must have returned true.
  void OnStarted(const std::string& service);
  /// Gives back the latest second attempt because it did not reach a server.
  void Refund(const std::string& service);

 private:
  struct ServiceState {
    /// Second attempts that the requests of the service have earned.
    double credit = 0;
    /// Time of the last sign of load while there are no second attempts.
    std::optional<common::Time> loaded_at;
  };

  SecondAttemptOptions options_;
  std::map<std::string, ServiceState> services_;
  std::map<std::string, AnswerTimeWindow> routes_;
};

}  // namespace briarwood::routing
