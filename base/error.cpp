//===- error.cpp - Error kinds and their HTTP responses -------------------===//

#include "base/error.h"
#include "nlohmann/json.hpp"
#include <array>

namespace olivevalve {

namespace {

constexpr std::string_view PayloadUrl = "olivevalve/error_kind";
constexpr std::string_view Invalid = "invalid_request_error";
constexpr std::string_view Auth = "authentication_error";
constexpr std::string_view Permission = "permission_error";
constexpr std::string_view Limit = "rate_limit_error";
constexpr std::string_view Server = "server_error";

using enum error_kind;

// Indexed by error_kind; a test checks the order.
constexpr std::array<error_response, size_t(Last) + 1> Answers = {{
    {None, "ok", "", 200, outcome::Ran, false, 0},
    {BadRequest, "bad_request", Invalid, 400, outcome::NotRun, false, 0},
    {Unauthorized, "invalid_api_key", Auth, 401, outcome::NotRun, false, 0},
    {ModelNotAllowed, "model_not_allowed", Permission, 403, outcome::NotRun,
     false, 0},
    {NotFound, "not_found", Invalid, 404, outcome::NotRun, false, 0},
    {BodyTooLarge, "body_too_large", Invalid, 413, outcome::NotRun, false, 0},
    {RateLimited, "rate_limited", Limit, 429, outcome::NotRun, false, 1},
    {ConcurrencyLimited, "concurrency_limited", Limit, 429, outcome::NotRun,
     false, 1},
    {NoLease, "no_lease", Server, 503, outcome::NotRun, true, 2},
    {NoUpstream, "no_upstream", Server, 503, outcome::NotRun, false, 1},
    {QueueFull, "queue_full", Server, 503, outcome::NotRun, true, 1},
    {DeadlineExceeded, "deadline_exceeded", Server, 504, outcome::NotRun, false,
     1},
    {Draining, "draining", Server, 503, outcome::NotRun, true, 1},
    {StaleIncarnation, "stale_incarnation", Server, 503, outcome::NotRun, true,
     1},
    {VersionWithdrawn, "version_withdrawn", Server, 503, outcome::NotRun, true,
     1},
    {EngineFailed, "engine_failed", Server, 502, outcome::Unknown, true, 1},
    {OutcomeUnknown, "outcome_unknown", Server, 502, outcome::Unknown, false,
     0},
    {InProgress, "in_progress", Server, 409, outcome::Unknown, false, 1},
    {KeyRequired, "idempotency_key_required", Invalid, 400, outcome::NotRun,
     false, 0},
    {KeyReused, "idempotency_key_reused", Invalid, 422, outcome::NotRun, false,
     0},
    {NotLeader, "not_leader", Server, 503, outcome::NotRun, true, 1},
    {Conflict, "conflict", Invalid, 409, outcome::NotRun, false, 0},
    {BadConfiguration, "bad_configuration", Invalid, 422, outcome::NotRun,
     false, 0},
    {StorageFailed, "storage_failed", Server, 507, outcome::NotRun, false, 5},
    {Cancelled, "cancelled", Server, 499, outcome::NotRun, true, 0},
    {NoQuorum, "no_quorum", Server, 503, outcome::Unknown, false, 2},
    {AnswerTooLarge, "answer_too_large", Server, 502, outcome::Ran, false, 0},
    {DeadlineUnknown, "deadline_exceeded_unknown", Server, 504,
     outcome::Unknown, false, 1},
    {EntryFull, "entry_full", Server, 503, outcome::NotRun, false, 1},
    {NotLoaded, "not_loaded", Server, 503, outcome::NotRun, true, 1},
    {Quarantined, "quarantined", Server, 503, outcome::NotRun, false, 300},
}};

} // namespace

const error_response &responseFor(error_kind Kind) {
  return Kind <= Last ? Answers[size_t(Kind)] : Answers[0];
}

std::string_view nameOf(outcome Outcome) {
  constexpr std::array<std::string_view, 3> Names = {"not-run", "ran",
                                                     "unknown"};
  return Names[size_t(Outcome)];
}

absl::Status makeError(error_kind Kind, std::string_view Message) {
  absl::Status Status(absl::StatusCode::kUnknown,
                      absl::string_view(Message.data(), Message.size()));
  Status.SetPayload(absl::string_view(PayloadUrl.data(), PayloadUrl.size()),
                    absl::Cord(std::string(1, char(Kind))));
  return Status;
}

error_kind kindOf(const absl::Status &Status) {
  if (Status.ok())
    return None;
  auto Payload = Status.GetPayload(
      absl::string_view(PayloadUrl.data(), PayloadUrl.size()));
  if (!Payload || Payload->size() != 1)
    return BadRequest;
  return kindFromNumber(uint8_t(std::string(*Payload)[0]));
}

std::string_view messageOf(const absl::Status &Status) {
  return {Status.message().data(), Status.message().size()};
}

error_kind kindFromNumber(uint32_t Number) {
  return Number <= uint32_t(Last) ? error_kind(Number) : BadRequest;
}

std::string errorBody(error_kind Kind, std::string_view Message) {
  const error_response &Answer = responseFor(Kind);
  nlohmann::json Body;
  Body["error"]["message"] = Message;
  Body["error"]["type"] = Answer.Type;
  Body["error"]["code"] = Answer.Code;
  Body["error"]["param"] = nullptr;
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace olivevalve
