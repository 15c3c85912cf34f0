//===- error.h - Error kinds and their HTTP responses -----------*- C++ -*-===//
//
// Every failure in olivevalve is one of the kinds below. A table maps each kind
// to its HTTP response: status, error code, whether the request has run, and
// when to retry.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_ERROR_H
#define OLIVEVALVE_BASE_ERROR_H

#include "absl/status/status.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace olivevalve {

/// The numbers are sent between processes and stored: add new kinds at the end
/// and never renumber.
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

/// Whether a failed request has run at an upstream.
enum class outcome : uint8_t { NotRun, Ran, Unknown };

/// The HTTP response for an error kind.
struct error_response {
  error_kind Kind;
  std::string_view Code; ///< Stable, machine-readable error code.
  std::string_view Type; ///< Error type as in OpenAI's API.
  int HttpStatus;
  outcome Outcome;
  /// The request may be retried at another upstream, provided that repeating it
  /// is safe.
  bool RetryElsewhere;
  int RetryAfterSeconds; ///< Value of Retry-After; 0 omits the header.
};

/// The response for \p Kind; kinds out of range get that of None.
const error_response &responseFor(error_kind Kind);

/// The value of the X-Olivevalve-Outcome header: "not-run", "ran" or "unknown".
std::string_view nameOf(outcome Outcome);

/// Returns a status that carries \p Kind. \p Message should say what is wrong
/// and what is allowed.
absl::Status makeError(error_kind Kind, std::string_view Message);

/// The kind carried by \p Status: None if it is OK, BadRequest if it is an
/// error that makeError() did not create.
error_kind kindOf(const absl::Status &Status);

/// The message of \p Status as a std::string_view; absl::string_view is a
/// distinct type in the absl version in use.
std::string_view messageOf(const absl::Status &Status);

/// The kind for a number received from another process; BadRequest if this
/// version does not have it.
error_kind kindFromNumber(uint32_t Number);

/// A JSON error body in the format of OpenAI's API.
std::string errorBody(error_kind Kind, std::string_view Message);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_ERROR_H
