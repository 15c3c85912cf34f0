//===- upstream_paces.h - How fast each upstream is -------------*- C++ -*-===//
//
// The upstreams of a service differ in speed for as long as they run. Their
// pace, the time that work takes there relative to an upstream of usual speed,
// is learned from the times that gateways see, apart from what the upstreams
// tell of the moment. Each gateway learns from its own requests and hears what
// the others have learned. Does no I/O; times are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_PACE_UPSTREAM_PACES_H
#define OLIVEVALVE_PACE_UPSTREAM_PACES_H

#include "pace/usual_time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace olivevalve {

/// A kind of work whose times are compared between upstreams.
enum class paced_work : uint8_t {
  FirstToken, ///< Until the first token.
  Events,     ///< Between the first and the last event, per byte.
  Whole       ///< A whole response that is no stream.
};

std::string_view nameOf(paced_work Work);

/// The time of one piece of work at an upstream.
struct work_time {
  uint64_t Upstream = 0; ///< Key of the incarnation.
  std::string_view Service;
  paced_work Work = paced_work::Whole;
  /// Model or route: times are only compared within one of them.
  std::string_view Class;
  double Seconds = 0;
  /// What the work usually takes, or its amount in any unit.
  double Usual = 1;
  /// How long work took there at that time, as the upstream told.
  double Slowdown = 1;
  /// Output tokens that were expected; 0: no output was timed.
  double ExpectedTokens = 0;
  /// What was expected of this upstream, without the ratio of expectedRatio();
  /// 0: nothing was.
  double ExpectedSeconds = 0;
  /// False if most of the time may not be work of this request: then nothing
  /// is learned of the upstream.
  bool TellsPace = true;
};

/// What one gateway has learned of an upstream from its own requests.
struct learned_pace {
  double Pace = 1;
  /// Observations behind it, discounted by age, each as much as it tells.
  double Weight = 0;
};

/// The paces of all upstreams, as this gateway has them. Without a call of
/// enable() nothing is learned and each pace is 1.
class upstream_paces {
public:
  /// Classes of work that are learned; callers name the models. Further ones
  /// keep their first estimates.
  static constexpr size_t MaxClasses = 4096;

  void enable() { Enabled = true; }
  /// An upstream of \p Service tells how long work takes at the moment: the
  /// paces of this service are learned from now on.
  void recordTellsSlowdown(std::string_view Service);
  /// The paces of \p Service are learned and used.
  bool learns(std::string_view Service) const;
  /// Learns from \p Seen; ignored for a service whose paces are not learned.
  void record(const work_time &Seen, double Now);

  /// How long work takes at the upstream, relative to one of usual speed; 1 if
  /// it is not known.
  double paceOf(uint64_t Upstream, double Now) const;
  /// The value nearest to 1 within a standard deviation of the pace: choices
  /// that followed the scatter of few times would send all requests to the same
  /// upstreams.
  double cautiousPaceOf(uint64_t Upstream, double Now) const;
  /// The standard deviation of the pace's logarithm, 0.5 if nothing is known.
  double uncertaintyOf(uint64_t Upstream, double Now) const;
  /// How long \p Work takes relative to work_time::ExpectedSeconds; 1 if it is
  /// not known.
  double expectedRatio(std::string_view Service, paced_work Work,
                       std::string_view Class) const;
  /// Seconds at usual pace for \p Tokens expected output tokens; 0 if it is not
  /// known.
  double outputSeconds(std::string_view Service, std::string_view Class,
                       double Tokens) const;

  /// What this gateway has learned itself, for a report to the others.
  learned_pace own(uint64_t Upstream, double Now) const;
  /// Another gateway has learned \p Learned in all; replaces what it said
  /// before.
  void hear(uint64_t Gateway, uint64_t Upstream, learned_pace Learned,
            double Now);
  /// The pace if operators should read of it: it is known well and differs from
  /// what was returned last. At most one for each upstream in some seconds.
  std::optional<double> paceToLog(uint64_t Upstream, double Now);
  /// Classes whose times are known.
  size_t classCount() const { return Usual.size(); }
  /// Forgets an upstream that is gone.
  void forget(uint64_t Upstream) { ByUpstream.erase(Upstream); }

private:
  /// A sum of weighted logarithms, discounted by age.
  struct log_sum {
    double Sum = 0;
    double Weight = 0;
    double At = 0;

    log_sum discounted(double Now) const;
    /// Adds \p Factor times \p Other, both as of \p Now.
    void add(const log_sum &Other, double Factor, double Now);
  };

  struct upstream_entry {
    log_sum Own;
    std::unordered_map<uint64_t, log_sum> Told; ///< By gateway.
    log_sum All;                                ///< The sum of these.
    double LoggedPace = 1;
    double LoggedAt = 0;
  };

  /// Service, kind of work, model or route.
  using class_key = std::tuple<std::string, paced_work, std::string>;
  using class_view = std::tuple<std::string_view, paced_work, std::string_view>;

  struct class_order {
    using is_transparent = void;
    bool operator()(const class_view &A, const class_view &B) const {
      return A < B;
    }
  };

  bool Enabled = false;
  std::set<std::string, std::less<>> Learning; ///< Services.
  /// Of times at usual pace.
  std::map<class_key, usual_time, class_order> Usual;
  /// Of times relative to what was expected.
  std::map<class_key, usual_time, class_order> Ratios;
  /// Seconds per expected output token, by service and model.
  std::map<class_key, usual_time, class_order> Outputs;
  std::unordered_map<uint64_t, upstream_entry> ByUpstream;
};

} // namespace olivevalve

#endif // OLIVEVALVE_PACE_UPSTREAM_PACES_H
