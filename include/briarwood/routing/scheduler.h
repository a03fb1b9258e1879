#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/first_token_predictor.h"
#include "briarwood/routing/request.h"
#include "briarwood/routing/token_window.h"

namespace briarwood::routing {

/// Service level of a request class.
struct ClassPolicy {
  common::ClassId id;
  common::Tier tier;
  common::Duration first_token_target{};
  common::Duration deadline{};
  /// Guaranteed share of the served tokens in each 10 s window, from 0 to 1.
  double floor_share = 0;
  /// Maximum number of queued requests of the class.
  std::size_t queue_limit = 1000;
};

/// Mechanisms of the policy. The policy simulation disables them to measure their effect.
struct SchedulerFeatures {
  bool floors = true;
  bool tiers = true;
  bool slack = true;
  bool fair_sharing = true;
  bool drop_late = true;
  /// A request whose first token can no longer be on time is not dropped, but queued behind the
  /// requests of its tier that can still be on time.
  bool demote_late = false;
};

struct SchedulerOptions {
  std::vector<ClassPolicy> classes;
  /// Maximum number of queued requests of all classes.
  std::size_t total_queue_limit = 10000;
  /// Cost of an input token relative to that of an output token.
  double input_token_weight = 0.125;
  SchedulerFeatures features;
};

enum class DropReason : std::uint8_t {
  /// The queue is full, or the class of the request is unknown. The request is not running, but may
  /// have run before if it was queued again by Scheduler::Requeue.
  kQueueFull,
  /// The first token can no longer be on time.
  kFirstTokenLate,
  /// The deadline of the whole request has passed.
  kDeadline,
};

struct DroppedRequest {
  QueuedRequest request;
  DropReason reason{};
};

/// Request removed from the queue in order to run.
struct PickedRequest {
  QueuedRequest request;
  common::Tier tier;
  /// Picked because its class is below its floor; agents do not preempt it.
  bool floor_protected = false;
};

/// Queues of one entry for the backend servers of one model or plain service.
///
/// Requests are ordered by: classes below their floor first, then tier, then slack to the
/// first-token deadline between classes of a tier, then the virtual token counters of customers.
/// The scheduler keeps track of a running request until Finish, PutBack or Requeue. Not
/// thread-safe.
///
/// \code
/// for (auto& dropped : scheduler.Enqueue(request, now)) Reject(dropped);
/// if (auto picked = scheduler.PickNext(now)) Dispatch(*picked);
/// scheduler.Charge(id, 1, now);  // on each token
/// scheduler.Finish(id);
/// \endcode
class Scheduler {
 public:
  /// Maximum number of classes, including those added by later configurations.
  static constexpr std::size_t kMaxClasses = 256;

  /// Predicate: whether a request can be placed now. Called for the heads of customer queues.
  /// `class_below_floor` is true if the class is below its floor.
  using Placeable = std::function<bool(const QueuedRequest&, common::Tier, bool class_below_floor)>;

  /// \returns the scheduler, or an error that describes a duplicate class id, a negative floor, or
  ///   floors whose sum exceeds 1.
  static common::Result<Scheduler> Create(SchedulerOptions options);

  /// Adds a class or changes the policy of an existing one; queued requests keep their deadlines.
  /// At kMaxClasses, a new class replaces a class without requests.
  /// \returns false if there are kMaxClasses classes and all of them have requests.
  bool SetClass(const ClassPolicy& policy);

  /// Sets the relative share of a customer within each class; the default is 1, which also replaces
  /// a weight of 0 or less.
  void SetWeight(const common::CustomerId& customer, double weight);

  /// Queues a request. A request of an unknown class is dropped with kQueueFull.
  /// \returns the requests dropped from the queue, possibly including `request` itself.
  [[nodiscard]] std::vector<DroppedRequest> Enqueue(QueuedRequest request, common::Time now);

  /// \returns the next request to run. Late requests are moved to the dropped list, or demoted with
  ///   SchedulerFeatures::demote_late.
  [[nodiscard]] std::optional<PickedRequest> PickNext(common::Time now,
                                                      const Placeable& placeable = nullptr);

  /// Drops or demotes queued requests that are late. Call it on a timer, about every 50 ms.
  void DropLate(common::Time now);

  /// \returns the requests dropped by PickNext and DropLate since the last call.
  [[nodiscard]] std::vector<DroppedRequest> TakeDropped();

  /// Removes a queued request, for example when its caller has disconnected.
  /// \returns false if the request is not queued.
  bool Cancel(const common::RequestId& id);

  /// Records output tokens delivered by a running request.
  void Charge(const common::RequestId& id, std::uint64_t output_tokens, common::Time now);

  /// Updates the estimated number of remaining output tokens of a running request.
  void UpdateEstimate(const common::RequestId& id, double remaining_output_tokens);

  /// Records the delay from dispatch to first token.
  void ObserveFirstToken(std::uint64_t input_tokens, common::Duration delay);

  /// Ends a running request. Its customer is charged only for the tokens actually served.
  void Finish(const common::RequestId& id);

  /// Puts a picked request back at the head of its queue, because no backend server admitted it.
  /// Its customer is not charged.
  void PutBack(const common::RequestId& id);

  /// Returns a preempted or interrupted request to the head of its queue.
  /// \param resume_from  number of output tokens that the caller has already received
  /// \param avoid        server on which the attempt failed; empty to allow all
  /// \param deadline     extends QueuedRequest::deadline, which may limit the time until the first
  ///                     attempt only
  void Requeue(const common::RequestId& id, std::uint64_t resume_from,
               const common::BackendServerId& avoid = {}, common::Time deadline = {});

  [[nodiscard]] std::size_t queued() const noexcept { return queued_; }
  [[nodiscard]] std::size_t queued(const common::ClassId& class_id) const;
  /// \returns the number of queued requests of this tier and of higher ones.
  [[nodiscard]] std::size_t QueuedUpTo(const common::Tier& tier) const;
  [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }

  /// \returns the served and reserved tokens of a customer in a class, divided by its weight.
  [[nodiscard]] double VirtualTokens(const common::ClassId& class_id,
                                     const common::CustomerId& customer) const;

  /// \returns the share of the served tokens over the last window; 0 if nothing was served.
  [[nodiscard]] double ServedShare(const common::ClassId& class_id, common::Time now);

 private:
  struct CustomerState {
    common::CustomerId id;
    double weight = 1;
    /// Tokens served and reserved, divided by the weight.
    double counter = 0;
    /// When the customer becomes active again, its counter is raised to the lowest counter of the
    /// active customers (see ClassState::max_picked_counter if there are none) less this number of
    /// tokens, divided by the weight. 0 for a new customer.
    double credit = 0;
    std::deque<QueuedRequest> queue;
  };

  struct LateRequest {
    std::uint32_t customer_index = 0;
    QueuedRequest request;
  };

  /// Position of a class in the order in which classes are considered.
  struct ClassTurn {
    std::uint32_t class_index = 0;
    /// The class is below its floor.
    bool below_floor = false;
    /// Considers the late requests of the class.
    bool late = false;
  };

  struct ClassState {
    ClassPolicy policy;
    std::vector<CustomerState> customers;
    std::unordered_map<common::CustomerId, std::uint32_t> index;
    /// Customers with queued requests, ordered by counter.
    std::set<std::pair<double, std::uint32_t>> active;
    /// Highest counter of a picked customer so far. New and returning customers start here if no
    /// customer is active.
    double max_picked_counter = 0;
    /// Number of requests in the customer queues.
    std::size_t queued = 0;
    /// Requests whose first token can no longer be on time, in the order of detection.
    std::deque<LateRequest> late;
    std::size_t running = 0;
    TokenWindow served;
  };

  struct RunningState {
    std::uint32_t class_index = 0;
    std::uint32_t customer_index = 0;
    QueuedRequest request;
    double input_cost = 0;
    double reserved = 0;
    std::uint64_t charged = 0;
  };

  explicit Scheduler(SchedulerOptions options);

  /// \returns the index of the customer in the class; adds the customer if it is new.
  std::uint32_t IndexOf(ClassState& state, const common::CustomerId& customer);
  void Push(ClassState& state, std::uint32_t customer_index, QueuedRequest request, bool front);
  QueuedRequest PopFront(ClassState& state, std::uint32_t customer_index);
  QueuedRequest TakeNewest(ClassState& state, std::uint32_t customer_index, bool interrupted);
  void AddToCounter(ClassState& state, std::uint32_t customer_index, double tokens);
  void DropLateHeads(ClassState& state, std::uint32_t customer_index, common::Time now);
  [[nodiscard]] std::optional<DropReason> Lateness(const QueuedRequest& request,
                                                   common::Time now) const;
  [[nodiscard]] bool IsBelowFloor(ClassState& state, common::Time now);
  [[nodiscard]] common::Duration Slack(const ClassState& state, common::Time now) const;
  [[nodiscard]] std::vector<ClassTurn> ClassOrder(common::Time now);
  void DropPastDeadline(ClassState& state, common::Time now);
  [[nodiscard]] std::optional<PickedRequest> PickLate(std::uint32_t class_index, common::Time now,
                                                      const Placeable& placeable);
  [[nodiscard]] std::optional<std::uint32_t> PickCustomer(ClassState& state, bool below_floor,
                                                          common::Time now,
                                                          const Placeable& placeable);
  PickedRequest StartRunning(std::uint32_t class_index, std::uint32_t customer_index,
                             QueuedRequest request, bool floor_protected);
  [[nodiscard]] std::optional<DroppedRequest> ShedFrom(ClassState& state);
  /// \returns the customer with the longest queue; unless `interrupted`, only customers with a
  ///   request that was not interrupted are considered.
  [[nodiscard]] static std::optional<std::uint32_t> LongestQueue(const ClassState& state,
                                                                 bool interrupted);
  [[nodiscard]] std::optional<DroppedRequest> ShedLowestTier();
  std::optional<RunningState> TakeRunning(const common::RequestId& id);

  SchedulerOptions options_;
  std::vector<ClassState> classes_;
  std::unordered_map<common::ClassId, std::uint32_t> class_index_;
  std::unordered_map<common::CustomerId, double> weights_;
  std::unordered_map<common::RequestId, RunningState> running_;
  std::vector<DroppedRequest> dropped_;
  std::size_t queued_ = 0;
  FirstTokenPredictor predictor_;
  TokenWindow served_;
};

}  // namespace briarwood::routing
