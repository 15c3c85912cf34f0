//===- upstream_list_publisher.h - Upstream list for gateways ---*- C++ -*-===//
//
// The leader polls the platform's list of upstreams and passes it on to the
// gateways, so that the platform has one client rather than one per gateway.
// A gateway gets the complete list once and only the changes afterwards.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_UPSTREAM_LIST_PUBLISHER_H
#define OLIVEVALVE_CONTROL_UPSTREAM_LIST_PUBLISHER_H

#include "platform/list_client.h"
#include "wire/wire.pb.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace olivevalve {

/// The current list and its latest changes. Pure. A revision is computed from
/// the contents of the list, so a new leader sends nothing to gateways that
/// already hold the same list from the previous one.
class upstream_history {
public:
  /// Replaces the list. Returns false if nothing has changed.
  bool setList(const std::vector<platform::listed_upstream> &Listed);
  /// Names the current list; 0: no list was received yet.
  uint64_t revision() const { return Revision; }
  size_t size() const { return Entries.size(); }
  /// Number of upstreams in each data hall.
  std::map<std::string, size_t> countByHall() const;
  /// Number of upstreams of a service with each software version.
  std::map<std::string, size_t> countByVersion(std::string_view Service) const;
  /// True if the changes since \p HeldRevision are kept; otherwise a gateway
  /// that holds it needs the complete list.
  bool contains(uint64_t HeldRevision) const;
  /// What a gateway that holds \p HeldRevision needs to be up to date: the
  /// changes since, or the complete list if that revision is no longer kept.
  wire::upstream_list changesSince(uint64_t HeldRevision) const;

private:
  struct change {
    uint64_t Revision = 0;     ///< Of the list after the change.
    std::set<std::string> Ids; ///< Upstreams added, changed or removed.
  };

  uint64_t Revision = 0;
  std::map<std::string, platform::listed_upstream> Entries; ///< By id.
  std::deque<change> Changes;                               ///< Oldest first.
};

/// The list that a gateway holds, according to its last watch message. Times
/// are steady seconds of this process.
struct held_upstream_list {
  uint64_t Revision = 0;
  double FetchedAt = 0;      ///< When that list was current at the platform.
  double FullListSentAt = 0; ///< When the complete list was last sent to it.
};

class upstream_list_publisher {
public:
  /// \p Address of the platform's list, "IP:port"; empty: the list is not
  /// polled, and each gateway fetches it for itself.
  upstream_list_publisher(struct ev_loop *Loop, const std::string &Address);

  std::function<void()> OnChange; ///< Called when the list has changed.

  /// Number of upstreams in each data hall.
  std::map<std::string, size_t> countByHall() const {
    return History.countByHall();
  }
  /// Number of upstreams of a service with each software version; empty: the
  /// list has none, or was not received yet.
  std::map<std::string, size_t> countByVersion(std::string_view Service) const {
    return History.countByVersion(Service);
  }
  /// False: gateways have to fetch the list for themselves.
  bool fetchesList() const { return bool(Client); }
  /// Fetches the list if it is time to and this VM is the leader (\p Leads).
  void tick(double Now, bool Leads);
  /// Sets revision and age of the list, and adds the list or its changes if the
  /// gateway holds another revision. Does nothing before the first list.
  void fill(const held_upstream_list &Held, double Now,
            wire::notice &Notice) const;

private:
  std::unique_ptr<platform::list_client> Client;
  upstream_history History;
  double RequestedAt = 0; ///< When the list was last requested.
  double FetchedAt = 0;   ///< When the current list was requested.
  double PollSeconds;     ///< Between two requests for the list.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_UPSTREAM_LIST_PUBLISHER_H
