#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "briarwood/common/result.h"
#include "briarwood/http/server.h"

namespace briarwood::emulator::impl {

/// Parsed body of a completion request.
struct CompletionRequest {
  std::string request_id;
  std::string model;
  std::string prompt;
  std::uint32_t priority = 0;
  std::uint64_t resume_from = 0;
  /// 0 if the request sets none.
  std::uint64_t max_tokens = 0;
  bool stream = false;
};

/// \returns the request, or the code for the error response.
common::Result<CompletionRequest> ParseCompletion(std::string_view body);

/// Writes the response to one completion request, as a stream of events or as one body.
class CompletionOutput {
 public:
  CompletionOutput(CompletionRequest request, std::uint64_t end_token,
                   std::shared_ptr<http::Exchange> exchange);

  /// Writes token `index`. \returns false if the caller has disconnected or does not read its
  /// stream.
  bool Write(std::uint64_t index, bool last);

  /// Aborts the stream. A request that is not streamed gets no response until the exchange is
  /// released.
  void Abort() { exchange_->Abort(); }

  /// Responds that the request was cancelled.
  void WriteCancelled();

  [[nodiscard]] const CompletionRequest& request() const noexcept { return request_; }
  [[nodiscard]] const std::shared_ptr<http::Exchange>& exchange() const noexcept {
    return exchange_;
  }

 private:
  [[nodiscard]] std::string TokenEvent(std::uint64_t index) const;
  [[nodiscard]] std::string EndEvent() const;
  void RespondWhole();

  CompletionRequest request_;
  std::uint64_t end_token_;
  std::string finish_reason_;
  std::string text_;
  std::shared_ptr<http::Exchange> exchange_;
};

}  // namespace briarwood::emulator::impl
