//===- duty_driver.h - Calls of the leader to the platform ------*- C++ -*-===//
//
// While this VM leads, sums up what gateways have counted, commits one report
// for each window of usage, and sends the reports to the platform until it
// accepts them.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_DUTY_DRIVER_H
#define OLIVEVALVE_CONTROL_DUTY_DRIVER_H

#include "base/fields.h"
#include "base/metrics.h"
#include "control/replicated_log.h"
#include "duty/agreed_clock.h"
#include "duty/duty_holder.h"
#include "duty/usage_collector.h"
#include "duty/usage_schedule.h"
#include "platform/duty_client.h"
#include <string>
#include <vector>

namespace olivevalve {

struct duty_options {
  std::string Node; ///< Name of this process in calls.
  /// Address of the platform, "IP:port"; empty: there are no duties.
  std::string PlatformAddress;
  std::vector<std::string> Names; ///< Duties that the platform expects.
  double LeaseSeconds = 3;        ///< Within it no two holders may take turns.
  usage_schedule Usage;
};

class duty_driver {
public:
  duty_driver(struct ev_loop *Loop, metrics &Metrics, duty_options Options,
              replicated_log &Log);

  /// True if the platform expects usage reports.
  bool reportsUsage() const { return Options.Usage.WindowSeconds > 0; }
  /// Records what a gateway has counted.
  void recordWatch(const wire::watch &Watch, double Now);
  /// Tells a gateway the agreed time and what is committed. \p Incarnation: of
  /// the gateway.
  void fillStatus(uint64_t Incarnation, double Now, wire::notice &Notice);
  /// Claims the duties, fixes reports and sends them as far as it is time.
  void tick(double Now);
  /// For operators: the holder, and the state of the usage reports.
  json describe(double Now);

private:
  leadership leadershipAt(double Now) const;
  void beginTerm(double Now);
  void claim(uint64_t Term);
  void fixReports(double Now);
  void sendReports(double Now);
  void onReply(const wire::usage_window &Report, uint64_t Token,
               platform::duty_reply Reply, int Status);
  void finish(uint64_t Window, bool Accepted);
  void updateMetrics();

  metrics &Metrics;
  duty_options Options;
  replicated_log &Log;
  duty_holder Holder;
  usage_collector Collector;
  agreed_clock Clock;
  platform::duty_client Client;
  /// Whether all that each gateway has counted up to its last watch message is
  /// recorded, by incarnation.
  std::map<uint64_t, bool> Recorded;
  uint64_t Term = 0;           ///< Of the present or last leadership; 0: none.
  double TermBeganAt = 0;      ///< Steady-clock seconds.
  bool FixPending = false;     ///< The report of a window is proposed.
  std::set<uint64_t> Answered; ///< Windows whose result is proposed.
  double RetryAt = 0;
  double RetryDelay;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_DUTY_DRIVER_H
