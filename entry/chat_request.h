//===- chat_request.h - Chat completion requests ----------------*- C++ -*-===//
//
// Parses the body of /v1/chat/completions as far as routing needs it and writes
// the body that is sent to the engine.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_CHAT_REQUEST_H
#define OLIVEVALVE_ENTRY_CHAT_REQUEST_H

#include "absl/status/statusor.h"
#include "base/fields.h"
#include <string>
#include <vector>

namespace olivevalve {

/// A parsed request body.
struct chat_request {
  json Body;
  std::string Model; ///< A template, a model or model@version.
  bool Stream = false;
  uint64_t PrefixHash = 0; ///< Of the prompt's beginning, for cache affinity.
  size_t PromptBytes = 0;
  /// The messages but the last one, as JSON, at most MaxBlocksOfRequest.
  std::vector<std::string> Blocks;
};

/// Error: BadRequest, naming the field.
absl::StatusOr<chat_request> parseChatRequest(const std::string &Body);

/// The body for the engine that serves the chosen version under the name
/// \p EngineModel. Streams always include their usage.
std::string engineBody(const chat_request &Request,
                       const std::string &EngineModel);

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_CHAT_REQUEST_H
