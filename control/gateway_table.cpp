//===- gateway_table.cpp - State of the gateways --------------------------===//

#include "control/gateway_table.h"
#include "base/digest.h"
#include <algorithm>
#include <cstdint>
#include <set>

namespace olivevalve {

namespace {

// Gateways poll twice a second. One that has not polled for this long has left
// or polls another control VM.
constexpr double GatewayTimeoutSeconds = 10;
// Up to this many gateways, each sends its load updates to all others. With
// more, it sends them only to those in its own data hall, so that what a
// gateway sends and receives does not grow with their number.
constexpr size_t MaxFullMeshGateways = 64;
// Within this time after an election, gateways have noticed that the previous
// leader does not answer, found the new one and polled it.
constexpr double AllPolledSeconds = 2;

} // namespace

void gateway_table::recordWatch(const std::string &Peer,
                                const wire::watch &Watch, double Now) {
  for (uint64_t Key : Watch.staying())
    Sessions.push_back({.ReportedAt = Now, .Key = Key});
  for (uint64_t Key : Watch.canary_sessions())
    Sessions.push_back({.ReportedAt = Now, .Key = Key, .IsCanary = true});
  if (!Gateways.contains(Peer))
    removeEarlierStart(Watch.node());
  gateway_record &Gateway = Gateways[Peer];
  Gateway = {.Node = Watch.node(),
             .DataHall = Watch.data_hall(),
             .PeerUpdateAddress = Watch.news_address(),
             .Incarnation = Watch.incarnation(),
             .RoutingVersion = Watch.routing_version(),
             .RolloutsRevision = Watch.rollouts_revision(),
             .QuarantineRevision = Watch.crashes().quarantine_revision(),
             .EvacuationsRevision = Watch.evacuations_revision(),
             .LastSeen = Now,
             .WatchSentAt = Watch.sent_at(),
             .UpstreamsRevision = Watch.upstreams_revision(),
             .UpstreamsFetchedAt = Now - Watch.upstreams_age(),
             .FullListSentAt = Gateway.FullListSentAt,
             .GatewaysRevision = Watch.gateways_revision(),
             .SessionsSentAt = Gateway.SessionsSentAt};
  for (const wire::hall_requests &Hall : Watch.evacuated())
    Gateway.OpenRequestsByHall[Hall.data_hall()] = Hall.open();
  // The message has all tallies of the gateway: those that it has added up are
  // not in it any more.
  for (auto &[Version, BySource] : Tallies)
    BySource.erase(BySource.lower_bound({Watch.incarnation(), 0}),
                   BySource.upper_bound({Watch.incarnation(), UINT64_MAX}));
  for (const wire::version_tally &Tally : Watch.tallies())
    Tallies[{Tally.service(), Tally.version()}][{
        Watch.incarnation(), Tally.upstream()}] = {.Sent = Tally.sent(),
                                                   .Answers = Tally.answers(),
                                                   .Failures = Tally.failures(),
                                                   .Seconds = Tally.seconds(),
                                                   .Judged = Tally.judged(),
                                                   .Bad = Tally.bad()};
}

// Without this a restarted gateway would be counted twice, and the other
// gateways would assume that they miss the updates of one of them.
void gateway_table::removeEarlierStart(const std::string &Node) {
  std::erase_if(Gateways, [&](const auto &Each) {
    return !Node.empty() && Each.second.Node == Node;
  });
}

void gateway_table::beginLeadership(double Now) {
  CountValidFrom = Now + AllPolledSeconds;
}

// A count that grows with each new gateway would give the first ones to poll
// too large a share of the common limits, and they would keep it if this VM
// failed before all had polled.
std::optional<uint32_t> gateway_table::count(double Now) const {
  if (Now < CountValidFrom)
    return std::nullopt;
  return uint32_t(Gateways.size());
}

void gateway_table::recordListSent(const std::string &Peer,
                                   const wire::notice &Notice, double Now) {
  gateway_record &Gateway = Gateways[Peer];
  Gateway.UpstreamsRevision = Notice.upstreams_revision();
  if (Notice.upstreams().whole())
    Gateway.FullListSentAt = Now;
}

void gateway_table::fillSessions(const std::string &Peer, double Now,
                                 wire::notice &Notice) {
  gateway_record &Gateway = Gateways[Peer];
  auto First = std::partition_point(
      Sessions.begin(), Sessions.end(), [&](const reported_session &Each) {
        return Each.ReportedAt <= Gateway.SessionsSentAt;
      });
  for (auto It = First; It != Sessions.end(); ++It)
    if (It->IsCanary)
      Notice.add_canary_sessions(It->Key);
    else
      Notice.add_staying(It->Key);
  Gateway.SessionsSentAt = Now;
}

void gateway_table::fillAddresses(const std::string &Peer,
                                  wire::notice &Notice) const {
  const gateway_record &Receiver = Gateways.at(Peer);
  std::set<std::string> Addresses;
  for (const auto &[Name, Each] : Gateways)
    if (!Each.PeerUpdateAddress.empty() &&
        (Gateways.size() <= MaxFullMeshGateways ||
         Each.DataHall == Receiver.DataHall))
      Addresses.insert(Each.PeerUpdateAddress);
  uint64_t Revision = 1;
  for (const std::string &Address : Addresses)
    Revision = checksum(Address, Revision);
  Notice.set_gateways_revision(Revision);
  if (Revision != Receiver.GatewaysRevision)
    Notice.mutable_news_addresses()->Assign(Addresses.begin(), Addresses.end());
}

void gateway_table::forgetSilent(double Now) {
  while (!Sessions.empty() &&
         Sessions.front().ReportedAt + GatewayTimeoutSeconds < Now)
    Sessions.pop_front();
  std::erase_if(Gateways, [&](const auto &Each) {
    return Each.second.LastSeen + GatewayTimeoutSeconds < Now;
  });
}

const gateway_record *gateway_table::find(const std::string &Peer) const {
  auto It = Gateways.find(Peer);
  return It == Gateways.end() ? nullptr : &It->second;
}

size_t gateway_table::countBehindEvacuations(uint64_t Revision) const {
  return size_t(
      std::count_if(Gateways.begin(), Gateways.end(), [=](const auto &Each) {
        return Each.second.EvacuationsRevision < Revision;
      }));
}

uint64_t gateway_table::openRequestsIn(const std::string &DataHall) const {
  uint64_t Sum = 0;
  for (const auto &[Name, Gateway] : Gateways)
    if (auto It = Gateway.OpenRequestsByHall.find(DataHall);
        It != Gateway.OpenRequestsByHall.end())
      Sum += It->second;
  return Sum;
}

version_tally gateway_table::answersOf(std::string_view Service,
                                       std::string_view Version) const {
  version_tally Sum;
  for (const auto &[Key, ByGateway] : Tallies)
    if (Key.first == Service && Key.second == Version)
      for (const auto &[Incarnation, Tally] : ByGateway)
        Sum += Tally;
  return Sum;
}

std::map<uint64_t, version_tally>
gateway_table::answersByUpstream(std::string_view Service,
                                 std::string_view Version) const {
  std::map<uint64_t, version_tally> Sums;
  for (const auto &[Key, ByGateway] : Tallies)
    if (Key.first == Service && Key.second == Version)
      for (const auto &[Reporter, Tally] : ByGateway)
        if (Reporter.Upstream != 0)
          Sums[Reporter.Upstream] += Tally;
  return Sums;
}

version_tally gateway_table::answersOfOthers(std::string_view Service,
                                             std::string_view Version) const {
  version_tally Sum;
  for (const auto &[Key, ByGateway] : Tallies)
    if (Key.first == Service && Key.second != Version)
      for (const auto &[Incarnation, Tally] : ByGateway)
        Sum += Tally;
  return Sum;
}

} // namespace olivevalve
