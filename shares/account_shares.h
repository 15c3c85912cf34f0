//===- account_shares.h - Shares of client accounts -------------*- C++ -*-===//
//
// Where a service is short of room, refuses requests of client accounts that
// ask for more than their max-min fair part of it. All gateways apply the same
// shares: each one reports the demand of its own callers by account and adds up
// the reports of the others.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SHARES_ACCOUNT_SHARES_H
#define OLIVEVALVE_SHARES_ACCOUNT_SHARES_H

#include "base/metrics.h"
#include "shares/fair_share.h"
#include "wire/wire.pb.h"
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

namespace olivevalve {

struct account_share_options {
  bool Enabled = false;
  /// Relative parts of the room by name of the account; 1 if not listed.
  std::map<std::string, double, std::less<>> Weights;
};

/// A service's upstreams that may take requests, as one gateway sees them.
struct service_room {
  double Slots = 0;
  double Load = 0; ///< Requests that run or wait there.
  /// Shortest target latency that was asked for, seconds.
  double TargetSeconds = 0;
};

/// A request that has not been sent to any upstream.
struct share_request {
  std::string_view Account;
  std::string_view Service;
  /// Predicted upstream time, seconds; 0: that of any request to
  /// the service, which is learned.
  double WorkSeconds = 0;
  /// Counted, but not refused.
  bool Protected = false;
  std::optional<service_room> Room; ///< If account_shares::needsRoom().
};

/// Demand and shares of the client accounts of all services.
class account_shares {
public:
  explicit account_shares(account_share_options Options = {},
                          metrics *Metrics = nullptr);

  bool enabled() const { return Options.Enabled; }
  /// Sets the number of all gateways, this one included; 0: unknown.
  void setGateways(uint32_t All) { Gateways = All; }
  /// True if the room of \p Service was last passed to admit() too long ago.
  bool needsRoom(std::string_view Service, double Now) const;
  /// Counts a request. False: it is over its account's share and refused.
  bool admit(const share_request &Request, double Now, std::mt19937_64 &Random);
  /// Records a response that occupied its slot for \p SlotSeconds.
  /// \p WorkSeconds as in share_request.
  void recordResponse(std::string_view Service, double WorkSeconds,
                      double SlotSeconds);
  /// True while each slot that is taken at \p Service is one that a refused
  /// request would have had.
  bool refuses(std::string_view Service, double Now) const;
  /// Adds the loads of this gateway's accounts that have changed to a report.
  void fill(wire::work_news &Report, double Now);
  /// Applies the report of another gateway.
  void hear(const wire::work_news &Report, double Now);
  /// Forgets gateways that are silent and accounts without requests, and logs
  /// the accounts that are back within their shares.
  void sweep(double Now);

private:
  struct load {
    double Demand = 0; ///< Upstream seconds per second that arrive.
    double Use = 0;    ///< Of these, admitted.
  };
  /// Sums over the other gateways.
  struct shared_load : load {
    int Reports = 0; ///< Gateways with a demand.
  };
  /// An account's requests to one service through this gateway.
  struct own_account {
    std::string Name;
    decaying_rate Demand;
    decaying_rate Use;
    double LastRequestAt = 0;
    load Reported;
    double ReportedAt = 0;
    double RefusedAt = 0; ///< 0: the account is within its share.
    uint64_t Refused = 0; ///< Since it passed its share.
  };
  struct service {
    std::string Name;
    std::unordered_map<uint64_t, own_account> Own;
    std::unordered_map<uint64_t, shared_load> Others; ///< By account.
    double Slots = 0;
    double Pressure = 0;
    double PressureAt = 0;
    // Sums over finished responses, old ones discounted.
    double WorkSum = 0;
    double SlotSum = 0;
    double Responses = 0;
    /// Of a plain request that did not wait, seconds; 0: unknown.
    double UnhinderedSeconds = 0;
    double Level = 0; ///< Of max-min fairness, as of LevelAt.
    double LevelAt = -1;
    load Total; ///< Of all gateways, as of LevelAt.
  };
  /// What one gateway reported of an account and a service.
  struct reported_load {
    uint64_t Service = 0;
    uint64_t Account = 0;
    load Load;
    double ReceivedAt = 0;
  };
  struct peer {
    uint64_t Sequence = 0;
    double ReceivedAt = 0;
    std::unordered_map<uint64_t, reported_load> Loads; ///< By both keys.
  };

  void recordRoom(service &Service, const service_room &Room, double Now);
  void updateLevel(service &Service, double Now);
  static double updateUnhindered(service &Service, double SlotSeconds);
  double roomOf(const service &Service) const;
  double weightOf(uint64_t Account) const;
  double scale() const;
  void change(const reported_load &Entry, load Load);
  void recordRefusal(const service &Service, own_account &Account,
                     double Demand, double Now);
  static void recordReturn(const service &Service, own_account &Account);

  account_share_options Options;
  metrics *Metrics;
  uint32_t Gateways = 0;
  std::unordered_map<uint64_t, service> Services; ///< By checksum of the name.
  std::unordered_map<uint64_t, peer> Peers;       ///< By incarnation.
  std::unordered_map<uint64_t, double> Weights;   ///< By checksum of the name.
  double ReportedAt = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_SHARES_ACCOUNT_SHARES_H
