#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/requests/caller_error.h"
#include "briarwood/requests/caller_request.h"
#include "fleet.pb.h"

namespace briarwood::requests {

/// Formats the response to one completion request in the OpenAI format.
class CompletionReply {
 public:
  /// \param created_unix_s  time of arrival, reported in each chunk
  CompletionReply(CompletionKind kind, common::RequestId request, common::ModelId model,
                  std::uint64_t created_unix_s)
      : kind_(kind),
        request_(std::move(request)),
        model_(std::move(model)),
        created_unix_s_(created_unix_s) {}

  /// \returns one server-sent event with `text`.
  [[nodiscard]] std::string Chunk(const std::string& text) const;

  /// \returns the last events of a stream: one with finish reason and usage, then `[DONE]`.
  [[nodiscard]] std::string LastChunk(const schema::RunEnd& end) const;

  /// \returns the body of a response that is not streamed.
  [[nodiscard]] std::string CompleteBody(const std::string& text, const schema::RunEnd& end) const;

 private:
  CompletionKind kind_;
  common::RequestId request_;
  common::ModelId model_;
  std::uint64_t created_unix_s_;
};

/// \returns the body of GET /v1/models.
[[nodiscard]] std::string ModelList(const std::vector<std::string>& names);

/// \returns the event that ends an incomplete stream.
[[nodiscard]] std::string ErrorEvent(const CallerError& error, const common::RequestId& request);

}  // namespace briarwood::requests
