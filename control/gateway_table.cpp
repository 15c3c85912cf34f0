//===- gateway_table.cpp - What gateways hold and have seen ---------------===//

#include "control/gateway_table.h"
#include "base/digest.h"
#include <algorithm>
#include <set>

namespace olivevalve {

namespace {

// Gateways ask twice a second; one silent for so long has left or has gone to
// another control VM.
constexpr double SilentSeconds = 10;
// With more gateways each tells its work to those of its own data hall only:
// what a gateway sends and hears must not grow with their number.
constexpr size_t MostInOneCircle = 64;
// By then gateways have missed the last leader's answers, found the new one and
// asked it.
constexpr double AllAskedSeconds = 2;

} // namespace

void gateway_table::watched(const std::string &Peer, const wire::watch &Watch,
                            double Now) {
  for (uint64_t Key : Watch.staying())
    Staying.push_back({Now, Key});
  if (!Gateways.contains(Peer))
    forgetEarlierStart(Watch.node());
  gateway_record &Gateway = Gateways[Peer];
  Gateway = {.Node = Watch.node(),
             .DataHall = Watch.data_hall(),
             .NewsAddress = Watch.news_address(),
             .Incarnation = Watch.incarnation(),
             .RoutingVersion = Watch.routing_version(),
             .RolloutsRevision = Watch.rollouts_revision(),
             .QuarantineRevision = Watch.crashes().quarantine_revision(),
             .EvacuationsRevision = Watch.evacuations_revision(),
             .LastSeen = Now,
             .WatchSentAt = Watch.sent_at(),
             .UpstreamsRevision = Watch.upstreams_revision(),
             .UpstreamsHadAt = Now - Watch.upstreams_age(),
             .ToldListAt = Gateway.ToldListAt,
             .GatewaysRevision = Watch.gateways_revision(),
             .ToldStayingAt = Gateway.ToldStayingAt};
  for (const wire::hall_requests &Hall : Watch.evacuated())
    Gateway.OpenInHalls[Hall.data_hall()] = Hall.open();
  for (const wire::version_tally &Tally : Watch.tallies())
    Tallies[{Tally.service(), Tally.version()}][Watch.incarnation()] = {
        .Answers = Tally.answers(),
        .Failures = Tally.failures(),
        .Seconds = Tally.seconds()};
}

// Counted beside its earlier start a gateway would be two, and the others would
// think that they do not hear all of them.
void gateway_table::forgetEarlierStart(const std::string &Node) {
  std::erase_if(Gateways, [&](const auto &Each) {
    return !Node.empty() && Each.second.Node == Node;
  });
}

void gateway_table::beginLeadership(double Now) {
  CountedFrom = Now + AllAskedSeconds;
}

// A number that grows with each question would grant the first who ask most of
// what all share, and leave it with them if this VM is lost in the middle.
std::optional<uint32_t> gateway_table::count(double Now) const {
  if (Now < CountedFrom)
    return std::nullopt;
  return uint32_t(Gateways.size());
}

void gateway_table::toldUpstreams(const std::string &Peer,
                                  const wire::notice &Notice, double Now) {
  gateway_record &Gateway = Gateways[Peer];
  Gateway.UpstreamsRevision = Notice.upstreams_revision();
  if (Notice.upstreams().whole())
    Gateway.ToldListAt = Now;
}

void gateway_table::fillStaying(const std::string &Peer, double Now,
                                wire::notice &Notice) {
  gateway_record &Gateway = Gateways[Peer];
  auto First = std::partition_point(
      Staying.begin(), Staying.end(), [&](const staying_session &Each) {
        return Each.ToldAt <= Gateway.ToldStayingAt;
      });
  for (auto It = First; It != Staying.end(); ++It)
    Notice.add_staying(It->Key);
  Gateway.ToldStayingAt = Now;
}

void gateway_table::fillAddresses(const std::string &Peer,
                                  wire::notice &Notice) const {
  const gateway_record &Asking = Gateways.at(Peer);
  std::set<std::string> Addresses;
  for (const auto &[Name, Each] : Gateways)
    if (!Each.NewsAddress.empty() && (Gateways.size() <= MostInOneCircle ||
                                      Each.DataHall == Asking.DataHall))
      Addresses.insert(Each.NewsAddress);
  uint64_t Revision = 1;
  for (const std::string &Address : Addresses)
    Revision = checksum(Address, Revision);
  Notice.set_gateways_revision(Revision);
  if (Revision != Asking.GatewaysRevision)
    Notice.mutable_news_addresses()->Assign(Addresses.begin(), Addresses.end());
}

void gateway_table::forgetSilent(double Now) {
  while (!Staying.empty() && Staying.front().ToldAt + SilentSeconds < Now)
    Staying.pop_front();
  std::erase_if(Gateways, [&](const auto &Each) {
    return Each.second.LastSeen + SilentSeconds < Now;
  });
}

const gateway_record *gateway_table::find(const std::string &Peer) const {
  auto It = Gateways.find(Peer);
  return It == Gateways.end() ? nullptr : &It->second;
}

size_t gateway_table::behindEvacuations(uint64_t Revision) const {
  return size_t(
      std::count_if(Gateways.begin(), Gateways.end(), [=](const auto &Each) {
        return Each.second.EvacuationsRevision < Revision;
      }));
}

uint64_t gateway_table::openIn(const std::string &DataHall) const {
  uint64_t Sum = 0;
  for (const auto &[Name, Gateway] : Gateways)
    if (auto It = Gateway.OpenInHalls.find(DataHall);
        It != Gateway.OpenInHalls.end())
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
