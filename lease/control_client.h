//===- control_client.h - A node's tie to control ---------------*- C++ -*-===//
//
// Keeps the lease and the configuration of an entry or a sidecar: renews every
// second with whichever control VM leads, takes grants, and carries questions
// (claims, bills, ratings) that are resent until answered. Every question is
// safe to ask twice.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_CONTROL_CLIENT_H
#define OLIVEVALVE_LEASE_CONTROL_CLIENT_H

#include "catalog/node_copy.h"
#include "lease/evacuated_halls.h"
#include "net/link.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace olivevalve {

struct control_member_address {
  uint64_t Id = 0;
  std::string Address; ///< Where nodes connect, "IP:port".
};

struct control_client_options {
  std::string Node;
  uint64_t Incarnation = 0;
  std::string Role;
  std::string DataHall;
  std::vector<control_member_address> Control;
};

class control_client {
public:
  /// Called with the answer, or null when the time was over.
  using answer_handler = std::function<void(const wire::envelope *)>;

  control_client(link_context &Context, struct ev_loop *Loop,
                 control_client_options Options);

  const catalog &config() const { return Copy.config(); }
  bool hasLease() const;
  /// Entries that hold a lease, and this node's share of an account's limits.
  double shareOf(const std::string &Account) const;
  uint32_t entries() const { return Entries; }
  /// Whose upstreams get nothing new.
  const evacuated_halls &evacuated() const { return Evacuated; }

  /// Asks the leader; \p Message gets a call number.
  void ask(wire::envelope Message, double Seconds, answer_handler Handler);
  /// Renews at once; for what the leader should know without delay.
  void renewNow();
  /// Tells control that this node gives its lease up.
  void leave();

  std::function<void(wire::renew &)> OnRenew; ///< Fills in role-specific news.
  std::function<void()> OnConfig;             ///< The configuration changed.
  std::function<void(const wire::grant &)> OnGrant;

private:
  struct question {
    wire::envelope Message;
    double Deadline = 0;
    double AskedAt = 0;
    answer_handler Handler;
  };

  void receive(size_t Place, const wire::envelope &Message);
  void takeGrant(size_t Place, const wire::grant &Grant);
  void answer(uint64_t Call, const wire::envelope &Message);
  void tick();
  void sendRenew(size_t Place);
  void askAgain(question &Question, double Now);
  void follow(uint64_t Leader);

  control_client_options Options;
  node_copy Copy;
  std::vector<std::unique_ptr<client_link>> Links;
  size_t Current = 0; ///< Believed to lead.
  double LastGrant = 0;
  double LastRenew = 0;
  double LastMove = 0;
  uint32_t Entries = 1;
  std::map<std::string, double> Shares;
  evacuated_halls Evacuated;
  std::map<uint64_t, question> Questions;
  uint64_t NextCall = 1;
  bool Leaving = false;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_CONTROL_CLIENT_H
