#include "soak/configuration_source.h"

#include <charconv>

namespace briarwood::soak {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{1500};
constexpr std::chrono::milliseconds kStreamTimeout{9000};
constexpr std::string_view kVersionField = R"({"version":)";

std::string Route(const std::string& name, const std::string& path, const std::string& rest) {
  return R"({"name":")" + name + R"(","host":")" + kHost + R"(","pathPrefix":")" + path + "\"," +
         rest + "}";
}

std::string Customer(const char* name, const std::vector<std::string>& keys) {
  std::string list;
  for (const std::string& key : keys) list += (list.empty() ? "\"" : ",\"") + key + "\"";
  return std::string(R"({"name":")") + name + R"(","apiKeys":[)" + list + "]}";
}

}  // namespace

std::chrono::milliseconds TimeoutOf(CallKind kind) {
  const bool stream = kind == CallKind::kStream || kind == CallKind::kResumableStream;
  return stream ? kStreamTimeout : kCallTimeout;
}

std::string VersionPath(std::uint64_t version) { return "/v" + std::to_string(version) + "/"; }

std::string KeptPath(std::uint64_t version) { return "/kept" + std::to_string(version) + "/"; }

std::string KeptKey(std::uint64_t version) { return "key-of-version-" + std::to_string(version); }

std::string MakeConfiguration(std::uint64_t version, const std::vector<std::uint64_t>& kept,
                              bool valid) {
  const std::string call =
      R"("timeoutMs":1500,"sloMs":300,"priority":1,"service":"app","attempts":2)";
  const std::string stream =
      R"("type":"streaming","timeoutMs":9000,"sloMs":800,"service":"llm","affinity":true,)"
      R"("itlTargetMs":200,)";
  std::string kept_routes;
  std::vector<std::string> kept_keys;
  const auto keep = [&](std::uint64_t number) {
    kept_routes +=
        Route("kept" + std::to_string(number), KeptPath(number), R"("type":"safe",)" + call) + ",";
    kept_keys.push_back(KeptKey(number));
  };
  for (const std::uint64_t earlier : kept) keep(earlier);
  keep(version);
  return std::string(kVersionField) + std::to_string(version) + R"(,"routes":[)" +
         Route("read", "/read/", R"("type":"safe",)" + call) + "," +
         Route("book", "/book/", R"("type":"unsafe",)" + call) + "," +
         Route("ask", "/ask/", stream + R"("priority":2,"attempts":1)") + "," +
         Route("draft", "/draft/", stream + R"("priority":0,"attempts":2,"resumable":true)") + "," +
         kept_routes + Route("version", VersionPath(version), R"("type":"safe",)" + call) +
         R"(],"services":[{"name":"app","healthPath":"/healthz","maxConns":200},)"
         R"({"name":")" +
         (valid ? "llm" : "other") +
         R"(","healthPath":"/healthz","maxConns":200}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000},"tenants":[)" +
         Customer(kCustomerA, {kKeyA}) + "," + Customer(kCustomerB, {kKeyB}) + "," +
         Customer(kCustomerC, kept_keys) + "]}";
}

std::optional<std::uint64_t> ParseVersion(const std::string& content) {
  if (!content.starts_with(kVersionField)) return std::nullopt;
  std::uint64_t version = 0;
  const char* begin = content.data() + kVersionField.size();
  const auto parsed = std::from_chars(begin, content.data() + content.size(), version);
  if (parsed.ec != std::errc()) return std::nullopt;
  return version;
}

}  // namespace briarwood::soak
