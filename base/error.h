//===- error.h - The closed list of error kinds -----------------*- C++ -*-===//
//
// Every failure in olivevalve is one of the kinds below. One table maps a kind
// to what a caller or an operator is told: HTTP status, code, whether the
// request is known not to have run, and when to come back.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_ERROR_H
#define OLIVEVALVE_BASE_ERROR_H

#include "absl/status/status.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace olivevalve {

/// Numbers travel between processes: add at the end, never renumber.
enum class error_kind : uint8_t {
  None = 0,
  BadRequest = 1,
  Unauthorized = 2,
  ModelNotAllowed = 3,
  NotFound = 4,
  BodyTooLarge = 5,
  RateLimited = 6,
  ConcurrencyLimited = 7,
  NoLease = 8,
  NoUpstream = 9,
  QueueFull = 10,
  DeadlineExceeded = 11,
  Draining = 12,
  StaleIncarnation = 13,
  VersionWithdrawn = 14,
  EngineFailed = 15,
  OutcomeUnknown = 16,
  InProgress = 17,
  KeyRequired = 18,
  KeyReused = 19,
  NotLeader = 20,
  Conflict = 21,
  BadConfiguration = 22,
  StorageFailed = 23,
  Cancelled = 24,
  NoQuorum = 25,
  AnswerTooLarge = 26,
  DeadlineUnknown = 27,
  EntryFull = 28,
  NotLoaded = 29,
  Quarantined = 30,
  Last = Quarantined
};

/// What is known about whether the work of a refused request ran.
enum class outcome : uint8_t { NotRun, Ran, Unknown };

/// The answer that belongs to an error kind.
struct error_answer {
  error_kind Kind;
  std::string_view Code; ///< Machine-readable, stable.
  std::string_view Type; ///< OpenAI error type.
  int HttpStatus;
  outcome Outcome;
  bool TryElsewhere;     ///< Another upstream may be tried, if safe.
  int RetryAfterSeconds; ///< 0: no advice.
};

/// The row of \p Kind; kinds out of range get the row of None.
const error_answer &answerFor(error_kind Kind);

/// The header value for an outcome: "not-run", "ran" or "unknown".
std::string_view nameOf(outcome Outcome);

/// A status that carries \p Kind; \p Message says what was wrong and what is
/// allowed.
absl::Status makeError(error_kind Kind, std::string_view Message);

/// The kind carried by \p Status; BadRequest for a foreign failure.
error_kind kindOf(const absl::Status &Status);

/// The message of \p Status; this absl has a string_view of its own.
std::string_view messageOf(const absl::Status &Status);

/// The kind for a number received from another process.
error_kind kindFromNumber(uint32_t Number);

/// An OpenAI-shaped JSON error body.
std::string errorBody(error_kind Kind, std::string_view Message);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_ERROR_H
