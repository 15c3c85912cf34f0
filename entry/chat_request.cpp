//===- chat_request.cpp - Chat completion requests ------------------------===//

#include "entry/chat_request.h"
#include "base/digest.h"
#include "base/error.h"
#include "quarantine/request_causes.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Prompts with this many leading bytes in common are routed for prefix caching.
constexpr size_t PrefixBytes = 512;

} // namespace

absl::StatusOr<chat_request> parseChatRequest(const std::string &Body) {
  auto Value = parseJson(Body, "body");
  if (!Value.ok())
    return Value.status();
  chat_request Request;
  Request.Body = *std::move(Value);
  const json &B = Request.Body;
  auto Bad = [](std::string_view What) {
    return makeError(error_kind::BadRequest, What);
  };
  if (!B.is_object())
    return Bad("body: must be a JSON object");
  if (!B.contains("model") || !B["model"].is_string())
    return Bad("model: must be a string: a template, a model or "
               "model@version; see GET /v1/models");
  if (!B.contains("messages") || !B["messages"].is_array() ||
      B["messages"].empty())
    return Bad("messages: must be an array with at least one message");
  if (B.contains("stream") && !B["stream"].is_boolean())
    return Bad("stream: must be true or false");
  if (B.contains("stream_options") && !B["stream_options"].is_null() &&
      !B["stream_options"].is_object())
    return Bad("stream_options: must be an object");
  Request.Model = B["model"].get<std::string>();
  Request.Stream = B.value("stream", false);
  std::string Prompt = jsonText(B["messages"]);
  Request.PromptBytes = Prompt.size();
  size_t Blocks = std::min(B["messages"].size() - 1, MaxBlocksOfRequest);
  for (size_t I = 0; I < Blocks; ++I)
    Request.Blocks.push_back(jsonText(B["messages"][I]));
  Request.PrefixHash =
      checksum(std::string_view(Prompt).substr(0, PrefixBytes));
  return Request;
}

std::string engineBody(const chat_request &Request,
                       const std::string &EngineModel) {
  json Body = Request.Body;
  Body["model"] = EngineModel;
  if (Request.Stream)
    Body["stream_options"]["include_usage"] = true;
  return jsonText(Body);
}

} // namespace olivevalve
