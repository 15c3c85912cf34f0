//===- engine.cpp - Interface of engines and plain services ---------------===//

#include "sidecar/engine.h"
#include "base/fields.h"
#include <algorithm>

namespace olivevalve {

namespace {

// The usage object is at the end of a response; it and what follows are a few
// hundred bytes.
constexpr size_t TailBytes = 4096;

uint32_t tokenCount(const json &Object, std::string_view Key) {
  auto It = Object.find(Key);
  bool Valid = It != Object.end() && It->is_number_unsigned();
  return Valid ? uint32_t(std::min<uint64_t>(It->get<uint64_t>(), UINT32_MAX))
               : 0;
}

// The text of the object that begins at \p Begin, found by counting braces.
std::string_view objectAt(std::string_view Text, size_t Begin) {
  int Depth = 0;
  for (size_t I = Begin; I < Text.size(); ++I) {
    if (Text[I] == '{')
      ++Depth;
    if (Text[I] == '}' && --Depth == 0)
      return Text.substr(Begin, I - Begin + 1);
  }
  return {};
}

} // namespace

void usage_scanner::feed(std::string_view Bytes) {
  if (Bytes.size() >= TailBytes) {
    Tail = Bytes.substr(Bytes.size() - TailBytes);
    return;
  }
  size_t Keep = TailBytes - Bytes.size();
  if (Tail.size() > Keep)
    Tail.erase(0, Tail.size() - Keep);
  Tail += Bytes;
}

std::optional<wire::usage> usage_scanner::usage() const {
  size_t At = Tail.rfind("\"usage\"");
  if (At == std::string::npos)
    return std::nullopt;
  size_t Begin = Tail.find('{', At);
  if (Begin == std::string::npos)
    return std::nullopt;
  json Object = parseJsonOrNull(objectAt(Tail, Begin));
  if (!Object.is_object())
    return std::nullopt;
  wire::usage Usage;
  Usage.set_input_tokens(tokenCount(Object, "prompt_tokens"));
  Usage.set_output_tokens(tokenCount(Object, "completion_tokens"));
  auto Details = Object.find("prompt_tokens_details");
  if (Details != Object.end() && Details->is_object())
    Usage.set_cached_tokens(tokenCount(*Details, "cached_tokens"));
  return Usage;
}

std::optional<engine_load> parseEngineLoad(std::string_view Body, double Now) {
  json Object = parseJsonOrNull(Body);
  if (!Object.is_object() || !Object.contains("kv_cache_usage") ||
      !Object["kv_cache_usage"].is_number())
    return std::nullopt;
  double InUse = Object["kv_cache_usage"].get<double>();
  return engine_load{std::clamp(InUse, 0.0, 1.0), Now};
}

fetch_options engineRequest(const wire::attempt &Attempt,
                            const std::string &BaseUrl) {
  fetch_options Request;
  Request.Method = Attempt.method();
  Request.Url = BaseUrl + Attempt.path();
  Request.Body = Attempt.body();
  Request.TimeoutSeconds = Attempt.budget_ms() * 1e-3;
  if (!Attempt.content_type().empty())
    Request.Headers.push_back("Content-Type: " + Attempt.content_type());
  Request.Headers.push_back("X-Priority: " +
                            std::to_string(Attempt.priority()));
  if (!Attempt.idempotency_key().empty())
    Request.Headers.push_back("Idempotency-Key: " + Attempt.idempotency_key());
  return Request;
}

} // namespace olivevalve
