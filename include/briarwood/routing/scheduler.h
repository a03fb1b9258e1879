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
  /// Guaranteed share of served tokens in each 10 s window, 0 to 1.
  double floor_share = 0;
  /// Requests of the class that the queue holds.
  std::size_t queue_limit = 1000;
};

/// Parts of the policy that a comparison can switch off.
struct SchedulerFeatures {
  bool floors = true;
  bool tiers = true;
  bool slack = true;
  bool fair_sharing = true;
  bool drop_late = true;
  /// Instead of being dropped, a request whose first token can no longer be on time goes behind the
  /// requests of its tier that can be.
  bool demote_late = false;
};

struct SchedulerOptions {
  std::vector<ClassPolicy> classes;
  /// Requests that the queues of all classes hold together.
  std::size_t total_queue_limit = 10000;
  /// Cost of an input token relative to an output token.
  double input_token_weight = 0.125;
  SchedulerFeatures features;
};

enum class DropReason : std::uint8_t {
  /// The queue is full; the request never ran or has been preempted.
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

/// Request that leaves the queue to run.
struct PickedRequest {
  QueuedRequest request;
  common::Tier tier;
  /// Picked because its class is owed its floor; agents do not preempt it.
  bool floor_protected = false;
};

/// Queues of one entry for the backend servers of one model or plain service.
///
/// Order: classes whose floor is owed, then tier, then slack to the first-token deadline between
/// classes of a tier, then customers by virtual token counter. A running request stays known to
/// the scheduler until Finish, PutBack or Requeue. Not thread-safe.
///
/// \code
/// for (auto& dropped : scheduler.Enqueue(request, now)) Refuse(dropped);
/// if (auto picked = scheduler.PickNext(now)) Dispatch(*picked);
/// scheduler.Charge(id, 1, now);  // on each token
/// scheduler.Finish(id);
/// \endcode
class Scheduler {
 public:
  /// Classes that changing configurations can add up to.
  static constexpr std::size_t kMostClasses = 256;

  /// Says whether a request can be placed now; called for the heads of customer queues.
  /// The last argument tells that the class is owed its floor.
  using Placeable = std::function<bool(const QueuedRequest&, common::Tier, bool floor_owed)>;

  /// \returns an error when class ids repeat or the floors add up to more than 1.
  static common::Result<Scheduler> Create(SchedulerOptions options);

  /// Adds a class or changes the policy of a known one; requests that are queued keep the deadlines
  /// they have. Beyond kMostClasses, a class without requests gives its place to a new one.
  /// \returns false when all places are taken by classes with requests.
  bool SetClass(const ClassPolicy& policy);

  /// Relative share of a customer inside each class; customers that are not set have 1.
  void SetWeight(const common::CustomerId& customer, double weight);

  /// Queues a request. Its class must be one of the options; otherwise it is dropped as queue full.
  /// \returns the requests that lost their place, possibly including `request` itself.
  [[nodiscard]] std::vector<DroppedRequest> Enqueue(QueuedRequest request, common::Time now);

  /// \returns the next request to run. Requests that are late go to the dropped list.
  [[nodiscard]] std::optional<PickedRequest> PickNext(common::Time now,
                                                      const Placeable& placeable = nullptr);

  /// Drops queued requests that are late; call it on a timer, every 50 ms or so.
  void DropLate(common::Time now);

  /// \returns the requests dropped by PickNext and DropLate since the last call.
  [[nodiscard]] std::vector<DroppedRequest> TakeDropped();

  /// Removes a queued request, for example when its caller has gone.
  /// \returns false when it is not queued.
  bool Cancel(const common::RequestId& id);

  /// Records tokens that a running request delivered.
  void Charge(const common::RequestId& id, std::uint64_t output_tokens, common::Time now);

  /// Corrects the estimate of the tokens that a running request will still produce.
  void UpdateEstimate(const common::RequestId& id, double remaining_output_tokens);

  /// Records the delay from dispatch to first token.
  void ObserveFirstToken(std::uint64_t input_tokens, common::Duration delay);

  /// Ends a running request; its counter keeps the tokens it was actually served.
  void Finish(const common::RequestId& id);

  /// Returns a picked request that no backend server accepted to the head of its queue. It is not
  /// charged.
  void PutBack(const common::RequestId& id);

  /// Returns a preempted or interrupted request to the head of its queue.
  /// \param resume_from  output tokens that the caller already has
  /// \param avoid        server that failed the request; empty to allow all
  void Requeue(const common::RequestId& id, std::uint64_t resume_from,
               const common::BackendServerId& avoid = {});

  [[nodiscard]] std::size_t queued() const noexcept { return queued_; }
  [[nodiscard]] std::size_t queued(const common::ClassId& class_id) const;
  [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }

  /// Served and reserved tokens of a customer in a class, divided by its weight.
  [[nodiscard]] double VirtualTokens(const common::ClassId& class_id,
                                     const common::CustomerId& customer) const;

  /// Share of served tokens over the last window; 0 when nothing was served.
  [[nodiscard]] double ServedShare(const common::ClassId& class_id, common::Time now);

 private:
  struct CustomerState {
    common::CustomerId id;
    double weight = 1;
    /// Tokens served and reserved, divided by the weight.
    double counter = 0;
    /// Tokens the customer may be behind the minimum when it returns; none at first.
    double credit = 0;
    std::deque<QueuedRequest> queue;
  };

  struct LateRequest {
    std::uint32_t customer_index = 0;
    QueuedRequest request;
  };

  /// Class in the order in which classes are asked for a request.
  struct ClassTurn {
    std::uint32_t class_index = 0;
    /// The class is owed its floor.
    bool owed = false;
    /// Asks for a request that is late.
    bool late = false;
  };

  struct ClassState {
    ClassPolicy policy;
    std::vector<CustomerState> customers;
    std::unordered_map<common::CustomerId, std::uint32_t> index;
    /// Customers with queued requests, ordered by counter.
    std::set<std::pair<double, std::uint32_t>> active;
    /// Counter of the customer picked last; new and returning customers start here.
    double minimum = 0;
    /// Requests in the queues of the customers.
    std::size_t queued = 0;
    /// Requests whose first token is late already, in the order in which that was noticed.
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

  /// \returns the position of the customer in the class, added when it is new.
  std::uint32_t IndexOf(ClassState& state, const common::CustomerId& customer);
  void Push(ClassState& state, std::uint32_t customer_index, QueuedRequest request, bool front);
  QueuedRequest PopFront(ClassState& state, std::uint32_t customer_index);
  QueuedRequest PopBack(ClassState& state, std::uint32_t customer_index);
  void AddToCounter(ClassState& state, std::uint32_t customer_index, double tokens);
  void DropLateHeads(ClassState& state, std::uint32_t customer_index, common::Time now);
  [[nodiscard]] std::optional<DropReason> Lateness(const QueuedRequest& request,
                                                   common::Time now) const;
  [[nodiscard]] bool IsOwed(ClassState& state, common::Time now);
  [[nodiscard]] common::Duration Slack(const ClassState& state, common::Time now) const;
  [[nodiscard]] std::vector<ClassTurn> ClassOrder(common::Time now);
  void DropPastDeadline(ClassState& state, common::Time now);
  [[nodiscard]] std::optional<PickedRequest> PickLate(std::uint32_t class_index, common::Time now,
                                                      const Placeable& placeable);
  [[nodiscard]] std::optional<std::uint32_t> PickCustomer(ClassState& state, bool owed,
                                                          common::Time now,
                                                          const Placeable& placeable);
  PickedRequest StartRunning(std::uint32_t class_index, std::uint32_t customer_index,
                             QueuedRequest request, bool floor_protected);
  [[nodiscard]] std::optional<DroppedRequest> ShedFrom(ClassState& state);
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
