//===- control_client.h - A node's connection to control --------*- C++ -*-===//
//
// Keeps the lease and the configuration of an entry or a sidecar up to date: it
// sends a renewal to the leading control VM every second and applies the grants
// that come back. It also sends requests (claims, bills, ratings) to the leader
// and resends them until they are answered. Every request is idempotent.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_CONTROL_CLIENT_H
#define OLIVEVALVE_LEASE_CONTROL_CLIENT_H

#include "catalog/config_replica.h"
#include "lease/evacuated_halls.h"
#include "net/link.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace olivevalve {

/// A control VM as named in the node's settings.
struct control_member_address {
  uint64_t Id = 0;
  std::string Address; ///< Where nodes connect, "IP:port".
};

struct control_client_options {
  std::string Node;
  uint64_t Incarnation = 0; ///< Differs for each start of the node.
  std::string Role;         ///< "entry" or "sidecar".
  std::string DataHall;
  std::vector<control_member_address> Control; ///< All control VMs.
};

class control_client {
public:
  /// Called with the answer, or with null if none came before the deadline.
  using answer_handler = std::function<void(const wire::envelope *)>;

  control_client(link_context &Context, struct ev_loop *Loop,
                 control_client_options Options);

  const catalog &config() const { return Copy.config(); }
  /// True if this node may act on its configuration. False after leave().
  bool hasLease() const;
  /// This node's share, from 0 to 1, in the limits of \p Account. An equal
  /// share per entry if control has sent none for this client account.
  double shareOf(const std::string &Account) const;
  /// Number of entries that hold a lease, at least 1.
  uint32_t entries() const { return Entries; }
  /// Data halls whose upstreams get no new requests.
  const evacuated_halls &evacuated() const { return Evacuated; }

  /// Sends \p Message, which must be a claim, a finish or a batch of bills or
  /// ratings, to the leader and resends it until it is answered or \p Seconds
  /// have passed. Sets the message's call number.
  void sendRequest(wire::envelope Message, double Seconds,
                   answer_handler Handler);
  /// Sends a renewal at once, to report something without delay.
  void renewNow();
  /// Gives up the lease and reports that to all control VMs.
  void leave();

  /// Called before each renewal is sent, to add what the node's role reports.
  std::function<void(wire::renew &)> OnRenew;
  std::function<void()> OnConfig; ///< Called when the configuration changed.
  /// Called after each grant, once it has been applied.
  std::function<void(const wire::grant &)> OnGrant;

private:
  struct pending_request {
    wire::envelope Message;
    double Deadline = 0;
    double SentAt = 0; ///< The last time.
    answer_handler Handler;
  };

  void receive(size_t Index, const wire::envelope &Message);
  void takeGrant(size_t Index, const wire::grant &Grant);
  void complete(uint64_t Call, const wire::envelope &Message);
  void tick();
  void sendRenew(size_t Index);
  void resend(pending_request &Request, double Now);
  void switchToLeader(uint64_t Leader);

  control_client_options Options;
  config_replica Copy;
  std::vector<std::unique_ptr<client_link>> Links;
  size_t LeaderIndex = 0; ///< In Links, of the VM assumed to be the leader.
  double LastGrant = 0;
  double LastRenew = 0;
  double LastSwitch = 0; ///< When another VM was last tried as the leader.
  uint32_t Entries = 1;
  std::map<std::string, double> Shares;
  evacuated_halls Evacuated;
  std::map<uint64_t, pending_request> PendingRequests; ///< By call number.
  uint64_t NextCall = 1;
  bool Leaving = false;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_CONTROL_CLIENT_H
