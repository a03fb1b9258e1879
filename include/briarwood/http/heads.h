#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarwood::http {

struct HeaderField {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they were received, repeated ones included. Names compare
/// without regard to case.
class HeaderList {
 public:
  void Add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }
  /// Replaces all fields of this name by one.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  /// \returns the value of the first field of this name, or nullptr.
  [[nodiscard]] const std::string* Find(std::string_view name) const noexcept;
  [[nodiscard]] const std::vector<HeaderField>& fields() const noexcept { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1), with those that the
/// Connection field names, and the ones that frame the body.
void RemoveConnectionFields(HeaderList& headers);

/// Request line and header of a request.
struct RequestHead {
  std::string method;
  /// Path and query as sent.
  std::string target;
  HeaderList headers;

  /// \returns the target without its query.
  [[nodiscard]] std::string_view path() const noexcept {
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
  }
};

/// Status line and header of a response.
struct ResponseHead {
  std::uint16_t status = 200;
  std::string reason;
  HeaderList headers;
};

/// \returns the usual reason phrase of a status; empty for an unknown one.
[[nodiscard]] std::string ReasonOf(std::uint16_t status);

/// \returns the bytes of a request with its whole body.
/// \param close  asks the server to close the connection after its response
[[nodiscard]] std::string SerializeRequest(const RequestHead& head, std::size_t body_bytes,
                                           bool has_body);

/// How the end of a response's body is marked.
enum class BodyFraming : std::uint8_t { kLength, kChunked, kClose };

/// \returns the bytes of a status line and header with the fields that frame the body.
[[nodiscard]] std::string SerializeResponse(const ResponseHead& head, BodyFraming framing,
                                            std::size_t body_bytes, bool close);

}  // namespace briarwood::http
