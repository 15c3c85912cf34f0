//===- request_limit.h - Request limit that an upstream states --*- C++ -*-===//
//
// An upstream that is short of capacity states in its responses how many
// requests per second it takes from all gateways together, for as long as this
// holds. A request_limit is what one gateway knows of one upstream's limit,
// from the responses to its own requests and from the reports of other
// gateways. Pure.
//
// Responses overtake one another. A response without a limit therefore ends the
// limit only if its request was sent after the limit was last stated.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_REQUEST_LIMIT_H
#define OLIVEVALVE_POLICY_REQUEST_LIMIT_H

#include <cstdint>
#include <optional>

namespace olivevalve {

/// How a statement changed the known limit.
enum class limit_change : uint8_t { None, Began, Changed, Ended };

/// What one gateway tells others of an upstream's limit.
struct limit_report {
  /// Empty: the upstream states no limit any more.
  std::optional<double> RequestsPerSecond;
  /// Since the limit was stated, or since the request was sent whose response
  /// stated none, seconds.
  double AgeSeconds = 0;
};

/// What a gateway knows of the limit of one incarnation of an upstream. All
/// times are steady-clock seconds of this gateway.
class request_limit {
public:
  /// Records what a response to an own request states. \p SentAt: when that
  /// request was sent.
  limit_change recordResponse(std::optional<double> RequestsPerSecond,
                              double SentAt, double Now);
  /// Records the report of another gateway.
  limit_change recordReport(const limit_report &Report, double Now);
  /// The limit in force in requests per second; empty: none.
  std::optional<double> requestsPerSecond() const;
  /// When the limit in force was last stated.
  double statedAt() const { return StatedAt; }
  /// When the limit in force began, as far as this gateway knows.
  double beganAt() const { return BeganAt; }
  /// What to tell other gateways: only what this gateway knows from its own
  /// requests, so that no statement circulates. Empty: nothing.
  std::optional<limit_report> report(double Now) const;

private:
  limit_change set(double RequestsPerSecond, double At, double Now);

  double Value = 0;
  double StatedAt = 0;
  double BeganAt = 0;
  /// When the newest request was sent whose response stated no limit.
  double ClearedAt = 0;
  /// When the last limit ended by a response to an own request; 0: never.
  double OwnEndAt = 0;
  /// The limit in force is known from a response to an own request.
  bool OwnStatement = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_REQUEST_LIMIT_H
