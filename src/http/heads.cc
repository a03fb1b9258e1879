#include "briarwood/http/heads.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <ostream>
#include <utility>

namespace briarwood::http {

namespace beast = boost::beast;

namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

bool EqualNames(std::string_view left, std::string_view right) {
  return beast::iequals(beast::string_view(left.data(), left.size()),
                        beast::string_view(right.data(), right.size()));
}

void AppendFields(const HeaderList& headers, std::string& text) {
  for (const HeaderField& field : headers.fields()) {
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

}  // namespace

void HeaderList::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void HeaderList::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const HeaderField& field) { return EqualNames(field.name, name); });
}

const std::string* HeaderList::Find(std::string_view name) const noexcept {
  const auto found = std::find_if(fields_.begin(), fields_.end(), [&](const HeaderField& field) {
    return EqualNames(field.name, name);
  });
  return found == fields_.end() ? nullptr : &found->value;
}

void RemoveConnectionFields(HeaderList& headers) {
  std::vector<std::string> named;
  for (const HeaderField& field : headers.fields()) {
    if (!EqualNames(field.name, "Connection")) continue;
    for (const auto token : beast::http::token_list(field.value)) named.emplace_back(token);
  }
  for (const std::string& name : named) headers.Remove(name);
  for (const std::string_view name : kConnectionFields) headers.Remove(name);
}

std::string ReasonPhrase(std::uint16_t status) {
  const beast::string_view reason =
      beast::http::obsolete_reason(beast::http::int_to_status(status));
  return {reason.data(), reason.size()};
}

bool IsValidStatus(unsigned status) noexcept {
  constexpr unsigned kFirstStatus = 100;
  constexpr unsigned kLastStatus = 599;
  return status >= kFirstStatus && status <= kLastStatus;
}

bool PromisesNotRun(std::uint16_t status) noexcept {
  constexpr std::array<std::uint16_t, 4> kStatuses = {408, 421, 429, 503};
  return std::find(kStatuses.begin(), kStatuses.end(), status) != kStatuses.end();
}

std::string SerializeRequest(const RequestHead& head, std::size_t body_bytes, bool has_body) {
  std::string text;
  constexpr std::size_t kReservedHeadBytes = 1024;
  text.reserve(kReservedHeadBytes);
  text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  AppendFields(head.headers, text);
  if (has_body) text.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  text.append("\r\n");
  return text;
}

std::string SerializeResponse(const ResponseHead& head, BodyFraming framing, std::size_t body_bytes,
                              bool close) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
  text.append(head.reason.empty() ? ReasonPhrase(head.status) : head.reason).append("\r\n");
  AppendFields(head.headers, text);
  if (framing == BodyFraming::kLength) {
    text.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  }
  if (framing == BodyFraming::kChunked) text.append("Transfer-Encoding: chunked\r\n");
  if (close) text.append("Connection: close\r\n");
  text.append("\r\n");
  return text;
}

}  // namespace briarwood::http
