//===- node_table.cpp - Leases of entries and sidecars --------------------===//

#include "control/node_table.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Control counts a lease as longer than the node does, by the tolerated drift
// between their clocks.
constexpr double ControlLeaseSeconds = LeaseSeconds * (1 + MaxClockDrift);
// Nodes not seen for this long are removed from the table.
constexpr double NodeRetentionSeconds = 600;
// Share of a client account's limits that is split evenly among entries, so
// that an entry has some allowance as soon as traffic reaches it. The rest is
// split by demand.
constexpr double EvenShare = 0.3;

} // namespace

void node_table::reset(double Now) {
  Nodes.clear();
  Waits.clear();
  Barrier = Now + ControlLeaseSeconds;
}

void node_table::recordRenewal(const std::string &Peer,
                               const wire::renew &Renew, double Now) {
  node_record &Node = Nodes[Peer];
  Node.Node = Renew.node();
  Node.Role = Renew.role();
  Node.DataHall = Renew.data_hall();
  Node.Incarnation = Renew.incarnation();
  Node.HeldConfigIndex = std::max(Node.HeldConfigIndex, Renew.config_index());
  Node.LastSeen = Now;
  Node.Stopping = Renew.stopping();
  Node.OpenRequests = Renew.open_requests();
  if (Renew.has_upstream_news())
    Node.SidecarReport = Renew.upstream_news();
  Node.VersionLoads.clear();
  for (const wire::version_load &Load : Renew.version_loads())
    Node.VersionLoads[Load.version()] = Load.in_flight();
  Node.Demand.clear();
  for (const wire::account_demand &Demand : Renew.demand())
    Node.Demand[Demand.account()] = Demand.requests_per_second();
}

void node_table::recordGrant(const std::string &Peer, double Now) {
  auto It = Nodes.find(Peer);
  if (It != Nodes.end())
    It->second.LeaseEnd = Now + ControlLeaseSeconds;
}

void node_table::releaseLease(const std::string &Peer) {
  auto It = Nodes.find(Peer);
  if (It != Nodes.end())
    It->second.LeaseEnd = 0;
}

// Leases granted from now on include the change, so only nodes with a current
// lease have to be waited for.
void node_table::awaitInForce(uint64_t Index, double Now,
                              std::function<void(double)> Done) {
  wait Wait{Index, Now, {}, Barrier, std::move(Done)};
  for (const auto &[Peer, Node] : Nodes)
    if (Node.LeaseEnd > Now && Node.HeldConfigIndex < Index)
      Wait.Holders[Peer] = Node.LeaseEnd;
  Waits.push_back(std::move(Wait));
}

void node_table::poll(double Now) {
  std::vector<wait> Completed;
  for (wait &Wait : Waits)
    std::erase_if(Wait.Holders, [&](const auto &Holder) {
      auto It = Nodes.find(Holder.first);
      bool HasIndex =
          It != Nodes.end() && It->second.HeldConfigIndex >= Wait.Index;
      bool Released = It != Nodes.end() && It->second.LeaseEnd == 0;
      return HasIndex || Released || Now >= Holder.second;
    });
  std::erase_if(Waits, [&](wait &Wait) {
    if (!Wait.Holders.empty() || Now < Wait.Barrier)
      return false;
    Completed.push_back(std::move(Wait));
    return true;
  });
  for (wait &Wait : Completed)
    Wait.Done(Now - Wait.Since);
  std::erase_if(Nodes, [&](const auto &Node) {
    return Now > Node.second.LastSeen + NodeRetentionSeconds;
  });
}

bool node_table::holdsLease(uint64_t Incarnation, double Now) const {
  if (Now < Barrier)
    return true;
  return std::any_of(Nodes.begin(), Nodes.end(), [&](const auto &N) {
    return N.second.Incarnation == Incarnation && N.second.LeaseEnd > Now;
  });
}

uint32_t node_table::entries(double Now) const {
  return uint32_t(std::count_if(Nodes.begin(), Nodes.end(), [&](const auto &N) {
    return N.second.Role == "entry" && N.second.LeaseEnd > Now;
  }));
}

// Renewals reach a new leader one by one. Without the check it would grant the
// first entry all of the total and the second one half.
double node_table::perEntry(double Total, double Now) const {
  return leasesComplete(Now) ? Total / std::max(1U, entries(Now)) : 0;
}

std::vector<wire::account_share> node_table::sharesOf(const std::string &Peer,
                                                      double Now) const {
  std::vector<wire::account_share> Shares;
  auto Self = Nodes.find(Peer);
  if (Self == Nodes.end())
    return Shares;
  double Even = EvenShare / std::max(1U, entries(Now));
  for (const auto &[Account, Own] : Self->second.Demand) {
    double Total = 0;
    for (const auto &[Other, Node] : Nodes) {
      auto It = Node.Demand.find(Account);
      if (Node.LeaseEnd > Now && It != Node.Demand.end())
        Total += It->second;
    }
    wire::account_share Share;
    Share.set_account(Account);
    double ByDemand = Total > 0 ? Own / Total : 0;
    Share.set_share(std::min(1.0, Even + (1 - EvenShare) * ByDemand));
    Shares.push_back(std::move(Share));
  }
  return Shares;
}

} // namespace olivevalve
