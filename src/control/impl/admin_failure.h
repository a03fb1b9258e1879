#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "admin.pb.h"
#include "briarwood/common/result.h"

namespace briarwood::control::impl {

/// Error response of an administration call.
class AdminFailure : public common::Error {
 public:
  AdminFailure(std::uint16_t status, const std::string& code, const std::string& message)
      : Error(message), status_(status) {
    error_.set_code(code);
    error_.set_message(message);
  }
  AdminFailure(std::uint16_t status, schema::AdminError error)
      : Error(error.message()), status_(status), error_(std::move(error)) {}

  [[nodiscard]] std::uint16_t status() const noexcept { return status_; }
  [[nodiscard]] const schema::AdminError& error() const noexcept { return error_; }

 private:
  std::uint16_t status_;
  schema::AdminError error_;
};

}  // namespace briarwood::control::impl
