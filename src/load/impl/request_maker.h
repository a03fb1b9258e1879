#pragma once

#include <cstdint>
#include <string>

#include "briarwood/http/message.h"
#include "briarwood/load/load_run.h"

namespace briarwood::load::impl {

struct LoadRequest {
  std::string path;
  http::Headers headers;
  std::string body;
};

/// \returns request `number` of the run; its prompt and idempotency key are unique within the run.
[[nodiscard]] LoadRequest MakeRequest(const LoadOptions& options, std::uint64_t number);

}  // namespace briarwood::load::impl
