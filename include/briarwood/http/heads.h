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

/// Header fields in the order in which they were received, including repeated fields. Names are
/// case-insensitive.
class HeaderList {
 public:
  void Add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }
  /// Replaces all fields of this name with a single one.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  /// \returns the value of the first field of this name, or nullptr.
  [[nodiscard]] const std::string* Find(std::string_view name) const noexcept;
  [[nodiscard]] const std::vector<HeaderField>& fields() const noexcept { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

/// Removes the connection-specific fields (RFC 9110, 7.6.1), including those that the Connection
/// field names, and the fields that frame the body.
void RemoveConnectionFields(HeaderList& headers);

/// Request line and header fields of a request.
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

/// Status line and header fields of a response.
struct ResponseHead {
  std::uint16_t status = 200;
  std::string reason;
  HeaderList headers;
};

/// \returns the standard reason phrase of a status code, or an empty string for an unknown code.
[[nodiscard]] std::string ReasonPhrase(std::uint16_t status);

/// True for a status between 100 and 599. A response with another one is invalid (RFC 9110, 15).
[[nodiscard]] bool IsValidStatus(unsigned status) noexcept;

/// True for the statuses by which a response promises that the request has not run and will not:
/// 408, 421, 429 and 503. A caller may send such a request again even if it must not run twice.
[[nodiscard]] bool PromisesNotRun(std::uint16_t status) noexcept;

/// \returns the serialised request line and header.
/// \param has_body  adds a Content-Length field of `body_bytes`
[[nodiscard]] std::string SerializeRequest(const RequestHead& head, std::size_t body_bytes,
                                           bool has_body);

/// How the end of a response body is marked.
enum class BodyFraming : std::uint8_t { kLength, kChunked, kClose };

/// \returns the serialised status line and header with the fields that frame the body.
/// \param close  adds "Connection: close"
[[nodiscard]] std::string SerializeResponse(const ResponseHead& head, BodyFraming framing,
                                            std::size_t body_bytes, bool close);

}  // namespace briarwood::http
