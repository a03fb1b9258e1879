#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "agent/impl/backend_response.h"
#include "briarwood/common/time.h"
#include "briarwood/http/client.h"
#include "briarwood/http/server.h"
#include "fleet.pb.h"

namespace briarwood::agent::impl {

/// \returns the key of one attempt, unique across entries, entry incarnations and attempts.
[[nodiscard]] std::string MakeRunKey(const std::string& request_id, std::uint64_t entry_incarnation,
                                     std::uint32_t attempt);

/// One attempt that an entry dispatched to this agent (schema::RunRequest), and its event stream.
/// Thread-safe: the first call of Finish ends the stream, later events are discarded.
class Run {
 public:
  Run(schema::RunRequest request, std::shared_ptr<http::Exchange> exchange, common::Time now);

  [[nodiscard]] const std::string& key() const noexcept { return key_; }
  [[nodiscard]] const schema::RunRequest& request() const noexcept { return request_; }
  [[nodiscard]] common::Time deadline() const noexcept { return deadline_; }

  /// Writes one event.
  /// \returns false if the entry is disconnected or the run has ended.
  bool Emit(schema::RunEvent event, const schema::LoadReport& load);

  /// Writes the last event and ends the stream.
  /// \returns true for the first call.
  bool Finish(schema::RunEvent event, const schema::LoadReport& load);

  /// Calls `callback` if the entry disconnects before the end of the stream.
  void OnEntryDisconnected(std::function<void()> callback);

  /// Stores the call to the backend server for CancelCall.
  void SetCall(const std::shared_ptr<http::Call>& call);
  /// Closes the connection to the backend server.
  void CancelCall();

  /// Translator of the backend server's response. Not synchronized; used by one thread at a time.
  [[nodiscard]] BackendResponse& response() noexcept { return response_; }

  void MarkSent();
  /// True if any byte of the request may have reached the backend server.
  [[nodiscard]] bool sent() const;
  [[nodiscard]] bool ended() const;
  /// True if a token or an answer was written to the entry.
  [[nodiscard]] bool has_output() const;
  /// Tokens written to the entry in this attempt.
  [[nodiscard]] std::uint64_t tokens() const;

 private:
  [[nodiscard]] std::string EncodeLocked(schema::RunEvent& event, const schema::LoadReport& load);

  schema::RunRequest request_;
  std::string key_;
  std::shared_ptr<http::Exchange> exchange_;
  common::Time deadline_;
  BackendResponse response_;
  mutable std::mutex mutex_;
  std::shared_ptr<http::Call> call_;
  common::Time last_load_at_;
  bool cancelled_ = false;
  bool sent_ = false;
  bool has_output_ = false;
  std::uint64_t tokens_ = 0;
  bool ended_ = false;
};

}  // namespace briarwood::agent::impl
