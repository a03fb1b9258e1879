#include "briarwood/requests/caller_request.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include "briarwood/common/digest.h"
#include "requests/impl/json.h"

namespace briarwood::requests {
namespace {

constexpr std::string_view kBearer = "Bearer ";
// A shorter key could match ordinary text in a body by chance.
constexpr std::size_t kMinKeyBytes = 8;
constexpr std::array<std::string_view, 2> kForwardedHeaders = {"content-type", "accept"};
// Fields of the caller's body that are not forwarded because Briarwood handles them itself.
// "customer" is ignored by design and must not reach a backend server either.
constexpr std::array<const char*, 5> kReservedFields = {"class", "customer", "user", "stream",
                                                        "stream_options"};

using ParseResult = common::Result<CompletionRequest, CallerError>;
using KeyResult = common::Result<std::string, CallerError>;

bool EqualIgnoringCase(std::string_view left, std::string_view right) noexcept {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

CallerError Invalid(std::string message) {
  return CallerError{.code = CallerErrorCode::kInvalidRequest, .message = std::move(message)};
}

bool Contains(std::string_view text, std::string_view part) noexcept {
  return text.find(part) != std::string_view::npos;
}

// \returns `text` with every "%XX" decoded, so that an encoded key is found as well.
std::string PercentDecode(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0) {
      decoded.push_back(
          static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, kHexBase)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

// Searches names and values after JSON escapes have been decoded.
bool JsonContains(const Json::Value& value, const std::string& key) {
  if (value.isString()) return Contains(value.asString(), key);
  if (value.isArray()) {
    return std::any_of(value.begin(), value.end(),
                       [&](const Json::Value& item) { return JsonContains(item, key); });
  }
  if (!value.isObject()) return false;
  const std::vector<std::string> names = value.getMemberNames();
  return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
    return Contains(name, key) || JsonContains(value[name], key);
  });
}

bool BodyContains(const std::string& body, const std::string& key) {
  if (Contains(body, key) || Contains(PercentDecode(body), key)) return true;
  const std::optional<Json::Value> json = impl::ReadJsonWithAnyText(body);
  return json && JsonContains(*json, key);
}

bool ForwardedHeadersContain(const std::vector<Header>& headers, const std::string& key) {
  const std::vector<Header> forwarded = ForwardedHeaders(headers);
  return std::any_of(forwarded.begin(), forwarded.end(),
                     [&](const Header& header) { return Contains(header.value, key); });
}

// Content is a string or a list of parts with a "text" field.
std::optional<std::string> MessageText(const Json::Value& content) {
  if (content.isString()) return content.asString();
  if (content.isNull()) return std::string();
  if (!content.isArray()) return std::nullopt;
  std::string text;
  for (const Json::Value& part : content) {
    if (!part.isObject()) return std::nullopt;
    if (part["text"].isString()) text += part["text"].asString();
  }
  return text;
}

std::optional<CallerError> ReadMessages(const Json::Value& messages, CompletionRequest& request) {
  if (!messages.isArray() || messages.empty()) return Invalid("\"messages\" must be a list");
  for (const Json::Value& message : messages) {
    if (!message.isObject() || !message["role"].isString()) {
      return Invalid("each of \"messages\" must have a \"role\"");
    }
    const std::optional<std::string> text = MessageText(message["content"]);
    if (!text) return Invalid("\"content\" must be a string or a list of parts");
    request.prompt += message["role"].asString() + ": " + *text + "\n";
  }
  return std::nullopt;
}

std::optional<CallerError> ReadMaxTokens(const Json::Value& json, CompletionRequest& request) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const Json::Value& value = json[name];
    if (value.isNull()) continue;
    if (!value.isUInt64() || value.asUInt64() == 0) {
      return Invalid("\"" + std::string(name) + "\" must be a positive whole number");
    }
    request.max_tokens = value.asUInt64();
  }
  return std::nullopt;
}

std::optional<CallerError> ReadFields(const Json::Value& json, CompletionRequest& request) {
  if (!json["model"].isString()) return Invalid("\"model\" must be a string");
  request.model = common::ModelId(json["model"].asString());
  if (!json["class"].isNull() && !json["class"].isString()) {
    return Invalid("\"class\" must be a string");
  }
  request.request_class = common::ClassId(json["class"].asString());
  if (!json["stream"].isNull() && !json["stream"].isBool()) {
    return Invalid("\"stream\" must be true or false");
  }
  request.streamed = json["stream"].asBool();
  if (!json["n"].isNull() && json["n"] != 1) return Invalid("\"n\" must be 1");
  return ReadMaxTokens(json, request);
}

}  // namespace

std::string_view FindHeader(const std::vector<Header>& headers, std::string_view name) noexcept {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header& header) {
    return EqualIgnoringCase(header.name, name);
  });
  return found == headers.end() ? std::string_view{} : std::string_view{found->value};
}

KeyResult ExtractKey(const CallerHttpRequest& request) {
  if (!FindHeader(request.headers, "Briarwood-Customer").empty()) {
    return KeyResult::Failure({.code = CallerErrorCode::kCustomerInHeader,
                               .message = "the customer is determined by the key alone"});
  }
  const std::string_view authorization = FindHeader(request.headers, "Authorization");
  if (authorization.size() < kBearer.size() + kMinKeyBytes ||
      !EqualIgnoringCase(authorization.substr(0, kBearer.size()), kBearer)) {
    return KeyResult::Failure({.code = CallerErrorCode::kKeyUnknown,
                               .message = "send the key as \"Authorization: Bearer <key>\""});
  }
  std::string key(authorization.substr(kBearer.size()));
  if (Contains(request.path, key) || Contains(request.query, key) ||
      Contains(PercentDecode(request.query), key) || Contains(PercentDecode(request.path), key) ||
      BodyContains(request.body, key) || ForwardedHeadersContain(request.headers, key)) {
    return KeyResult::Failure({.code = CallerErrorCode::kKeyInRequest,
                               .message = "the key belongs into the Authorization header only"});
  }
  return KeyResult::Success(std::move(key));
}

ParseResult ParseCompletion(CompletionKind kind, std::string_view body) {
  std::optional<Json::Value> json = impl::ReadJson(body);
  if (!json || !json->isObject()) return ParseResult::Failure(Invalid("the body must be JSON"));
  CompletionRequest request;
  request.kind = kind;
  if (std::optional<CallerError> error = ReadFields(*json, request)) {
    return ParseResult::Failure(std::move(*error));
  }
  if (kind == CompletionKind::kChat) {
    if (std::optional<CallerError> error = ReadMessages((*json)["messages"], request)) {
      return ParseResult::Failure(std::move(*error));
    }
  } else {
    if (!(*json)["prompt"].isString()) {
      return ParseResult::Failure(Invalid("\"prompt\" must be a string"));
    }
    request.prompt = (*json)["prompt"].asString();
  }
  for (const char* field : kReservedFields) json->removeMember(field);
  // The engine interface takes a prompt; engines with a chat template use the messages instead.
  (*json)["prompt"] = request.prompt;
  request.engine_body = impl::WriteJson(*json);
  return ParseResult::Success(std::move(request));
}

std::vector<Header> ForwardedHeaders(const std::vector<Header>& headers) {
  std::vector<Header> forwarded;
  for (const Header& header : headers) {
    if (std::any_of(kForwardedHeaders.begin(), kForwardedHeaders.end(),
                    [&](std::string_view name) { return EqualIgnoringCase(header.name, name); })) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

schema::Fingerprint MakeFingerprint(const common::CustomerId& customer,
                                    std::string_view model_or_route, std::string_view body) {
  // NUL separators distinguish ("ab", "c") from ("a", "bc").
  std::string input = customer.value();
  input.push_back('\0');
  input += model_or_route;
  input.push_back('\0');
  input += body;
  const common::Digest128 digest = common::Hash128(input);
  schema::Fingerprint fingerprint;
  fingerprint.set_high(digest.high);
  fingerprint.set_low(digest.low);
  return fingerprint;
}

std::string ToRowId(const schema::Fingerprint& fingerprint) {
  constexpr std::size_t kDigits = 32;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(fingerprint.high()),  // NOLINT(google-runtime-int)
                static_cast<unsigned long long>(fingerprint.low()));  // NOLINT(google-runtime-int)
  return {text.data(), kDigits};
}

std::string RequestDigest(std::string_view method, std::string_view path, std::string_view body) {
  std::string input(method);
  input.push_back('\0');
  input += path;
  input.push_back('\0');
  input += body;
  return common::Sha256(input);
}

}  // namespace briarwood::requests
