//===- account_shares.cpp - Shares of client accounts ---------------------===//

#include "shares/account_shares.h"
#include "base/digest.h"
#include "base/log.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace olivevalve {

namespace {

// A flood may pass its part for a second: until reports of other gateways are
// there and rates have followed, the pressure alone holds it back.
constexpr double LevelSeconds = 0.1;
// Loads of upstreams are known from reports up to 0.2 s old.
constexpr double PressureSeconds = 0.2;
// Below this pressure nothing is refused soon, and nothing is reported.
constexpr double MinReportedPressure = 0.4;
constexpr double ReportSeconds = 0.19;
// A load is reported again if it has changed by this part, and in any case
// after this time, as datagrams get lost.
constexpr double ReportedChange = 0.15;
constexpr double RepeatSeconds = 2;
// Loads in one report: 28 bytes each, and a datagram holds 1,400.
constexpr size_t MaxLoadsPerReport = 40;
// Rates below this are reported as none, upstream seconds per second.
constexpr double MinReportedRate = 1e-3;
// Gateways that are silent for this long are presumed gone.
constexpr double SilentSeconds = 3;
// A load that was not repeated for this long has ended unnoticed.
constexpr double LoadSeconds = 3 * RepeatSeconds;
// An account without requests for this long is forgotten, after its last load
// was reported.
constexpr double AccountSeconds = 10;
// Without a refusal for this long an account is back within its share.
constexpr double BackSeconds = 2;
// With more gateways reports come from the own data hall only.
constexpr uint32_t MaxAllReporting = 64;
// Responses that the mean slot time stands for, and those it takes to be known.
constexpr double RememberedResponses = 200;
constexpr double MinResponses = 5;
// The part of the slots that is planned to be in use: requests are not spread
// quite evenly, and one that meets a full upstream waits.
constexpr double PlannedPart = 0.97;
// The part of the target latency that plain requests may wait and run; the rest
// is for the way there and back and for uneven queues.
constexpr double MaxWaitPart = 0.5;
// The quantile of slot times that stands for requests that did not wait, and
// how far one response moves its estimate.
constexpr double UnhinderedQuantile = 0.25;
constexpr double QuantileStep = 0.05;
// Load that shrinks faster than the estimate follows does not shrink the room
// below this part of what the slots hold.
constexpr double MinRoomPart = 0.5;

// Shortest time after which the room is looked at again.
constexpr double RoomSeconds = 0.05;

uint64_t loadKey(uint64_t Service, uint64_t Account) {
  return checksum({reinterpret_cast<const char *>(&Account), sizeof(Account)},
                  Service);
}

bool plausible(const wire::account_load &Load) {
  return std::isfinite(Load.demand()) && std::isfinite(Load.use()) &&
         Load.demand() >= 0 && Load.use() >= 0;
}

} // namespace

account_shares::account_shares(account_share_options NewOptions,
                               metrics *Metrics)
    : Options(std::move(NewOptions)), Metrics(Metrics) {
  for (const auto &[Name, Weight] : Options.Weights)
    Weights[checksum(Name)] = Weight;
}

double account_shares::weightOf(uint64_t Account) const {
  auto It = Weights.find(Account);
  return It == Weights.end() ? 1 : It->second;
}

// Reports of the own data hall stand for those of the others.
double account_shares::scale() const {
  return Gateways > MaxAllReporting
             ? std::max(1.0, double(Gateways) / double(1 + Peers.size()))
             : 1;
}

bool account_shares::needsRoom(std::string_view Service, double Now) const {
  auto It = Services.find(checksum(Service));
  return It == Services.end() || Now > It->second.PressureAt + RoomSeconds;
}

bool account_shares::admit(const share_request &Request, double Now,
                           std::mt19937_64 &Random) {
  service &Service = Services[checksum(Request.Service)];
  if (Service.Name.empty())
    Service.Name = Request.Service;
  if (Request.Room)
    recordRoom(Service, *Request.Room, Now);
  uint64_t Key = checksum(Request.Account);
  own_account &Account = Service.Own[Key];
  if (Account.Name.empty())
    Account.Name = Request.Account;
  double Work =
      Request.WorkSeconds > 0 ? Request.WorkSeconds : Service.UnhinderedSeconds;
  Account.LastRequestAt = Now;
  updateLevel(Service, Now);
  // Without this request, which would make accounts with few look busy.
  auto Others = Service.Others.find(Key);
  double Demand =
      scale() * (Account.Demand.perSecond(Now) +
                 (Others == Service.Others.end() ? 0 : Others->second.Demand));
  Account.Demand.add(Work, Now);
  double Part =
      Demand > 0 ? std::min(1.0, Service.Level * weightOf(Key) / Demand) : 1;
  double Chance = shareRefusalProbability(Part, Service.Pressure);
  bool Refused = !Request.Protected && Chance > 0 &&
                 std::uniform_real_distribution<double>(0, 1)(Random) < Chance;
  if (!Refused) {
    Account.Use.add(Work, Now);
    return true;
  }
  recordRefusal(Service, Account, Demand, Now);
  return false;
}

void account_shares::recordRoom(service &Service, const service_room &Room,
                                double Now) {
  // Requests so short that several fit into a part of their target may wait.
  double Places = Room.Slots;
  if (Service.UnhinderedSeconds > 0)
    Places *= std::max(1.0, MaxWaitPart * Room.TargetSeconds /
                                Service.UnhinderedSeconds);
  double Pressure = Places > 0 ? Room.Load / Places : 0;
  double Elapsed = std::max(0.0, Now - Service.PressureAt);
  Service.Pressure += (1 - std::exp(-Elapsed / PressureSeconds)) *
                      (Pressure - Service.Pressure);
  Service.PressureAt = Now;
  Service.Slots = Room.Slots;
}

// Work that the slots take in a second at the pace of the latest responses. If
// more than that is in progress, what was admitted last is too much; but
// reports of load cannot follow requests as short as those of plain services.
// Infinite until the pace is known.
double account_shares::roomOf(const service &Service) const {
  if (Service.Responses < MinResponses || Service.SlotSum <= 0)
    return std::numeric_limits<double>::infinity();
  double Slots =
      PlannedPart * Service.Slots * Service.WorkSum / Service.SlotSum;
  bool IsPlain = Service.UnhinderedSeconds > 0;
  if (Service.Pressure <= 1 || IsPlain)
    return Slots;
  return std::clamp(Service.Total.Use / Service.Pressure, MinRoomPart * Slots,
                    Slots);
}

void account_shares::updateLevel(service &Service, double Now) {
  if (Now >= Service.LevelAt && Now < Service.LevelAt + LevelSeconds)
    return;
  Service.LevelAt = Now;
  Service.Level = std::numeric_limits<double>::infinity();
  if (Service.Pressure < MinReportedPressure)
    return;
  std::vector<account_demand> Demands;
  Service.Total = {};
  auto Add = [&](uint64_t Account, load Load) {
    Load.Demand *= scale();
    Demands.push_back({.Demand = Load.Demand, .Weight = weightOf(Account)});
    Service.Total.Demand += Load.Demand;
    Service.Total.Use += Load.Use * scale();
  };
  for (const auto &[Key, Account] : Service.Own) {
    load Load{.Demand = Account.Demand.perSecond(Now),
              .Use = Account.Use.perSecond(Now)};
    if (auto It = Service.Others.find(Key); It != Service.Others.end()) {
      Load.Demand += It->second.Demand;
      Load.Use += It->second.Use;
    }
    Add(Key, Load);
  }
  for (const auto &[Key, Load] : Service.Others)
    if (!Service.Own.contains(Key))
      Add(Key, Load);
  Service.Level = maxMinLevel(std::move(Demands), roomOf(Service));
}

void account_shares::recordResponse(std::string_view Name, double WorkSeconds,
                                    double SlotSeconds) {
  service &Service = Services[checksum(Name)];
  if (Service.Responses >= RememberedResponses) {
    double Kept = 1 - 1 / RememberedResponses;
    Service.WorkSum *= Kept;
    Service.SlotSum *= Kept;
    Service.Responses *= Kept;
  }
  if (WorkSeconds == 0)
    SlotSeconds = WorkSeconds = updateUnhindered(Service, SlotSeconds);
  Service.WorkSum += WorkSeconds;
  Service.SlotSum += SlotSeconds;
  ++Service.Responses;
}

double account_shares::updateUnhindered(service &Service, double SlotSeconds) {
  double &Unhindered = Service.UnhinderedSeconds;
  if (Unhindered == 0)
    Unhindered = SlotSeconds;
  Unhindered *=
      1 + QuantileStep * (SlotSeconds < Unhindered ? UnhinderedQuantile - 1
                                                   : UnhinderedQuantile);
  return Unhindered;
}

bool account_shares::refuses(std::string_view Name, double Now) const {
  auto It = Services.find(checksum(Name));
  return It != Services.end() && std::isfinite(It->second.Level) &&
         Now < It->second.LevelAt + PressureSeconds &&
         It->second.Pressure > MinRefusedPressure;
}

void account_shares::fill(wire::work_news &Report, double Now) {
  if (!Options.Enabled || Now < ReportedAt + ReportSeconds)
    return;
  ReportedAt = Now;
  struct candidate {
    double Urgency; ///< Small changes are reported after a while too.
    uint64_t Service;
    uint64_t Account;
    load Load;
    own_account *Own;
  };
  std::vector<candidate> Candidates;
  for (auto &[ServiceKey, Service] : Services) {
    bool Quiet = Service.Pressure < MinReportedPressure ||
                 Now > Service.PressureAt + SilentSeconds;
    for (auto &[Key, Own] : Service.Own) {
      load Load{.Demand = Own.Demand.perSecond(Now),
                .Use = Own.Use.perSecond(Now)};
      if (Quiet || Load.Demand < MinReportedRate)
        Load = {};
      const load &Last = Own.Reported;
      double Change =
          std::abs(Load.Demand - Last.Demand) + std::abs(Load.Use - Last.Use);
      bool Repeat = Load.Demand > 0 && Now > Own.ReportedAt + RepeatSeconds;
      if (Change > ReportedChange * Last.Demand || Repeat)
        Candidates.push_back({.Urgency = Change * (Now - Own.ReportedAt),
                              .Service = ServiceKey,
                              .Account = Key,
                              .Load = Load,
                              .Own = &Own});
    }
  }
  size_t Count = std::min(Candidates.size(), MaxLoadsPerReport);
  std::partial_sort(Candidates.begin(), Candidates.begin() + ptrdiff_t(Count),
                    Candidates.end(),
                    [](const candidate &A, const candidate &B) {
                      return A.Urgency > B.Urgency;
                    });
  for (size_t I = 0; I < Count; ++I) {
    const candidate &Each = Candidates[I];
    wire::account_load *Load = Report.add_accounts();
    Load->set_service(Each.Service);
    Load->set_account(Each.Account);
    Load->set_demand(float(Each.Load.Demand));
    Load->set_use(float(Each.Load.Use));
    Each.Own->Reported = Each.Load;
    Each.Own->ReportedAt = Now;
  }
}

void account_shares::hear(const wire::work_news &Report, double Now) {
  if (!Options.Enabled)
    return;
  peer &Peer = Peers[Report.gateway()];
  if (Report.sequence() <= Peer.Sequence)
    return;
  Peer.Sequence = Report.sequence();
  Peer.ReceivedAt = Now;
  for (const wire::account_load &Load : Report.accounts()) {
    if (!plausible(Load))
      continue;
    uint64_t Key = loadKey(Load.service(), Load.account());
    reported_load &Entry = Peer.Loads[Key];
    Entry.Service = Load.service();
    Entry.Account = Load.account();
    load New{.Demand = Load.demand(), .Use = Load.use()};
    change(Entry, New);
    Entry.Load = New;
    Entry.ReceivedAt = Now;
    if (Load.demand() == 0)
      Peer.Loads.erase(Key);
  }
}

// Sums are kept up to date entry by entry, as hundreds of gateways may report
// hundreds of accounts.
void account_shares::change(const reported_load &Entry, load Load) {
  std::unordered_map<uint64_t, shared_load> &Sums =
      Services[Entry.Service].Others;
  shared_load &Sum = Sums[Entry.Account];
  Sum.Reports += int(Load.Demand > 0) - int(Entry.Load.Demand > 0);
  Sum.Demand += Load.Demand - Entry.Load.Demand;
  Sum.Use += Load.Use - Entry.Load.Use;
  if (Sum.Reports == 0)
    Sums.erase(Entry.Account);
}

void account_shares::sweep(double Now) {
  for (auto It = Peers.begin(); It != Peers.end();) {
    bool Silent = It->second.ReceivedAt + SilentSeconds < Now;
    std::erase_if(It->second.Loads, [&](const auto &Entry) {
      bool Old = Silent || Entry.second.ReceivedAt + LoadSeconds < Now;
      if (Old)
        change(Entry.second, {});
      return Old;
    });
    It = Silent ? Peers.erase(It) : std::next(It);
  }
  for (auto &[Key, Service] : Services) {
    for (auto &[AccountKey, Account] : Service.Own)
      if (Account.RefusedAt > 0 && Now > Account.RefusedAt + BackSeconds)
        recordReturn(Service, Account);
    std::erase_if(Service.Own, [Now](const auto &Entry) {
      return Now > Entry.second.LastRequestAt + AccountSeconds &&
             Entry.second.Reported.Demand == 0;
    });
  }
}

void account_shares::recordRefusal(const service &Service, own_account &Account,
                                   double Demand, double Now) {
  if (Metrics)
    Metrics->count("account_share_refusals", Service.Name);
  ++Account.Refused;
  if (std::exchange(Account.RefusedAt, Now) > 0)
    return;
  logLine(log_level::Info, "client account is over its share",
          {{"account", Account.Name},
           {"service", Service.Name},
           {"demand", Demand},
           {"share", Service.Level * weightOf(checksum(Account.Name))},
           {"demand_of_all", Service.Total.Demand},
           {"room", roomOf(Service)},
           {"pressure", Service.Pressure},
           {"gateways_heard", int64_t(Peers.size())}});
}

void account_shares::recordReturn(const service &Service,
                                  own_account &Account) {
  logLine(log_level::Info, "client account is within its share again",
          {{"account", Account.Name},
           {"service", Service.Name},
           {"refused", int64_t(Account.Refused)}});
  Account.RefusedAt = 0;
  Account.Refused = 0;
}

} // namespace olivevalve
