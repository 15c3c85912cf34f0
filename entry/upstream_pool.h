//===- upstream_pool.h - Upstreams that an entry uses -----------*- C++ -*-===//
//
// Holds links to a subset of the sidecars and the last report of each, and
// chooses an upstream for every attempt. It is a subset because reports from
// every replica would exceed the entry's share of the control traffic.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_UPSTREAM_POOL_H
#define OLIVEVALVE_ENTRY_UPSTREAM_POOL_H

#include "catalog/catalog.h"
#include "lease/evacuated_halls.h"
#include "net/link.h"
#include "policy/replica_choice.h"
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace olivevalve {

struct pool_options {
  std::string Node;
  uint64_t Incarnation = 0;
  std::string DataHall;
  const evacuated_halls &Evacuated; ///< Must outlive the pool.
};

/// What an attempt requires of an upstream.
struct upstream_need {
  version_name Version;    ///< Model is empty for a plain service.
  std::string Service;     ///< Used if Version names no model.
  uint64_t PrefixHash = 0; ///< Of the prompt; steers equal prefixes together.
  std::set<std::string> Excluded; ///< Upstreams tried before.
};

/// Which upstreams may be used in view of their circuit breakers.
enum class breaker_policy : uint8_t {
  ClosedOnly,  ///< Only upstreams whose breaker is closed.
  IncludeOpen, ///< Also upstreams whose breaker is open after failures.
};

/// The upstreams of one entry.
class upstream_pool {
public:
  using message_handler = std::function<void(const std::string &Upstream,
                                             const wire::envelope &Message)>;
  /// The upstream's sidecar restarted, disconnected or is silent.
  using lost_handler = std::function<void(const std::string &Upstream)>;

  upstream_pool(link_context &Context, struct ev_loop *Loop,
                pool_options Options, message_handler OnMessage,
                lost_handler OnLost);

  /// Opens and closes links as the configuration requires. The size of the
  /// subset depends on how many \p Entries share the replicas.
  void configure(const catalog &Config, size_t Entries);
  /// Name of the upstream to use; empty: none. Upstreams with an open breaker
  /// are used only if there is no other.
  std::string choose(const upstream_need &Need, const catalog &Config,
                     std::mt19937_64 &Random);
  /// An upstream other than \p Current that seems to have a free slot, for a
  /// request that is queued there; empty: moving would not help.
  std::string chooseIdle(const upstream_need &Need, const std::string &Current,
                         const catalog &Config, std::mt19937_64 &Random);
  /// True if an upstream meets \p Need; Excluded is ignored.
  bool canServe(const upstream_need &Need, const catalog &Config,
                breaker_policy Breakers) const;
  /// False if there is no connection to the upstream.
  bool send(const std::string &Upstream, const wire::envelope &Message);
  /// Incarnation of the upstream's sidecar; 0: it has sent no report yet.
  uint64_t incarnation(const std::string &Upstream) const;
  /// Counts an attempt as in flight until attemptEnded().
  void attemptStarted(const std::string &Upstream);
  void attemptEnded(const std::string &Upstream);
  /// Reports the result of an attempt to the upstream's circuit breaker.
  void succeeded(const std::string &Upstream);
  void failed(const std::string &Upstream);
  /// Takes over the load, in requests, that came with a sidecar's message.
  void updateLoad(const std::string &Upstream, uint32_t Running,
                  uint32_t Queued);
  /// False while a newly started entry waits for the first reports of its
  /// upstreams: it would refuse requests that another entry can serve.
  bool hasInitialReports() const;

private:
  struct member {
    std::string Address;
    std::unique_ptr<client_link> Link;
    wire::news Report;             ///< Last report.
    std::set<version_name> Loaded; ///< From the last report.
    double LastMessageAt = 0;      ///< 0: none on the present connection.
    double NextHelloAt = 0;
    double BusySince = 0;   ///< Start of the first of the attempts in flight.
    double OwnAtReport = 0; ///< OwnInFlight when the load was reported.
    double OwnInFlight = 0; ///< Attempts of this entry.
    circuit_breaker Breaker;
  };

  std::set<std::string> selectSubset(const catalog &Config,
                                     size_t Entries) const;
  void open(const std::string &Name, const std::string &Address);
  void receive(const std::string &Name, const wire::envelope &Message);
  void onReport(const std::string &Name, const wire::news &Report);
  std::string chooseAmong(const upstream_need &Need, const catalog &Config,
                          breaker_policy Breakers, std::mt19937_64 &Random);
  replica_state replicaState(const member &Member, const upstream_spec &Spec,
                             uint64_t PrefixScore, double Now) const;
  static bool serves(const member &Member, const upstream_spec &Spec,
                     const upstream_need &Need);
  bool usable(const member &Member, const upstream_spec &Spec,
              const upstream_need &Need, breaker_policy Breakers,
              double Now) const;
  void tick();

  link_context &Context;
  struct ev_loop *Loop;
  pool_options Options;
  message_handler OnMessage;
  lost_handler OnLost;
  std::map<std::string, member> Members;
  double FirstOpenedAt = 0; ///< When the first link was opened; 0: none yet.
  /// Links to be freed outside of their own callbacks.
  std::vector<std::unique_ptr<client_link>> Closing;
  timer Timer;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_UPSTREAM_POOL_H
