//===- upstream_pool.h - The upstreams an entry talks to --------*- C++ -*-===//
//
// Links to a subset of sidecars, what is known of each, and the choice among
// them. A subset, since news of every replica would cost an entry more than
// its share of control traffic.
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
  const evacuated_halls &Evacuated; ///< Outlives the pool.
};

/// What kind of work an upstream is wanted for.
struct upstream_need {
  version_name Version; ///< Model empty: a plain service.
  std::string Service;
  uint64_t PrefixHash = 0;
  std::set<std::string> Excluded; ///< Tried before.
};

/// How far the breaker is heeded.
enum class trust : uint8_t {
  Sound,   ///< Only upstreams whose breaker is closed.
  Suspect, ///< Also those that failed lately.
};

class upstream_pool {
public:
  using message_handler = std::function<void(const std::string &Upstream,
                                             const wire::envelope &Message)>;
  /// The upstream restarted or its connection broke.
  using lost_handler = std::function<void(const std::string &Upstream)>;

  upstream_pool(link_context &Context, struct ev_loop *Loop,
                pool_options Options, message_handler OnMessage,
                lost_handler OnLost);

  /// Follows the configuration, shared with so many entries: opens and closes
  /// links.
  void configure(const catalog &Config, size_t Entries);
  /// Name of the upstream to use, or empty if there is none. Suspect ones are
  /// used only when there is no sound one.
  std::string choose(const upstream_need &Need, const catalog &Config,
                     std::mt19937_64 &Random);
  /// Another upstream than \p Present that seems free, for a request that has
  /// to wait there; empty if waiting is as good.
  std::string chooseFree(const upstream_need &Need, const std::string &Present,
                         const catalog &Config, std::mt19937_64 &Random);
  bool canServe(const upstream_need &Need, const catalog &Config,
                trust Trust) const;
  bool send(const std::string &Upstream, const wire::envelope &Message);
  /// 0 if nothing was heard from it.
  uint64_t incarnation(const std::string &Upstream) const;
  void attemptStarted(const std::string &Upstream);
  void attemptEnded(const std::string &Upstream);
  /// For the breaker.
  void succeeded(const std::string &Upstream);
  void failed(const std::string &Upstream);
  /// Load that came along with an answer.
  void noteLoad(const std::string &Upstream, uint32_t Running, uint32_t Queued);
  /// False while an entry that has just started may still hear from upstreams
  /// for the first time: it would refuse what another entry can serve.
  bool acquainted() const;

private:
  struct member {
    std::string Address;
    std::unique_ptr<client_link> Link;
    wire::news News;
    std::set<version_name> Loaded; ///< As in News; managed upstreams.
    double HeardAt = 0;
    double NextHello = 0;
    double BusySince = 0; ///< When it got work after it had none.
    double OwnAtReport = 0;
    double OwnInFlight = 0;
    circuit_breaker Breaker;
  };

  std::set<std::string> wanted(const catalog &Config, size_t Entries) const;
  void open(const std::string &Name, const std::string &Address);
  void receive(const std::string &Name, const wire::envelope &Message);
  void onNews(const std::string &Name, const wire::news &News);
  std::string chooseAmong(const upstream_need &Need, const catalog &Config,
                          trust Trust, std::mt19937_64 &Random);
  replica_news newsOf(const member &Member, const upstream_spec &Spec,
                      uint64_t PrefixScore, double Now) const;
  static bool serves(const member &Member, const upstream_spec &Spec,
                     const upstream_need &Need);
  bool usable(const member &Member, const upstream_spec &Spec,
              const upstream_need &Need, trust Trust, double Now) const;
  void tick();

  link_context &Context;
  struct ev_loop *Loop;
  pool_options Options;
  message_handler OnMessage;
  lost_handler OnLost;
  std::map<std::string, member> Members;
  double FirstOpened = 0; ///< When the first link was opened.
  std::vector<std::unique_ptr<client_link>> Closing;
  timer Timer;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_UPSTREAM_POOL_H
