//===- response_times.h - Times by which versions are compared --*- C++ -*-===//
//
// Duration of responses relative to the usual duration for their class at the
// stable version of the service. Excludes the time to the first event, which
// depends on what the upstream has cached. Does no I/O; times are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_RESPONSE_TIMES_H
#define OLIVEVALVE_GATEWAY_RESPONSE_TIMES_H

#include "pace/usual_time.h"
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace olivevalve {

/// The part of one response that is timed: all of a plain response, and of an
/// event stream what follows its first events. Seconds of the steady clock.
class response_timing {
public:
  /// The request was sent; \p HasEvents: the response may be an event stream.
  void begin(bool HasEvents, double Now);
  /// Bytes of events were received.
  void receive(uint64_t Bytes, double Now);
  /// A whole response that is no event stream was received.
  void receiveWhole(double Now);

  /// Seconds for one unit, an event's byte or a plain response; none if nothing
  /// was timed.
  std::optional<double> secondsPerUnit() const;
  /// The least that secondsPerUnit() can be once the next bytes are received at
  /// \p Now or later; none while nothing is timed.
  std::optional<double> leastSecondsPerUnit(double Now) const;

private:
  bool Events = false;
  double BeganAt = 0;      ///< 0: nothing is timed yet.
  double LastAt = 0;       ///< 0: nothing was received since.
  uint64_t FirstBytes = 0; ///< Of the events received at first.
  uint64_t Bytes = 0;      ///< Of those received later.
};

/// Usual seconds per unit of work, by class of responses.
class usual_paces {
public:
  /// A response of the stable version was timed.
  void record(uint64_t Class, double SecondsPerUnit);
  /// Ratio of \p SecondsPerUnit to the usual pace of the class; none if that is
  /// unknown.
  std::optional<double> ratio(uint64_t Class, double SecondsPerUnit) const;

private:
  std::unordered_map<uint64_t, usual_time> ByClass;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_RESPONSE_TIMES_H
