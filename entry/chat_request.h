//===- chat_request.h - What a caller asked for -----------------*- C++ -*-===//
//
// Reads the body of /v1/chat/completions as far as routing needs it, and
// writes the body that goes to the engine.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_CHAT_REQUEST_H
#define OLIVEVALVE_ENTRY_CHAT_REQUEST_H

#include "absl/status/statusor.h"
#include "base/fields.h"
#include <string>

namespace olivevalve {

struct chat_request {
  json Body;
  std::string Model; ///< A template, a model, or model@version.
  bool Stream = false;
  uint64_t PrefixHash = 0; ///< Of the start of the prompt, for cache affinity.
  size_t PromptBytes = 0;
};

absl::StatusOr<chat_request> parseChatRequest(const std::string &Body);

/// The body for one version's engine.
std::string engineBody(const chat_request &Request,
                       const std::string &EngineModel);

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_CHAT_REQUEST_H
