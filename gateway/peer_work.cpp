//===- peer_work.cpp - Work of all gateways at the upstreams --------------===//

#include "gateway/peer_work.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Minimum interval between reports; after a longer pause one is sent at once.
// Two gateways that select within one interval may select the same upstream.
constexpr double MinReportSeconds = 0.1;
// The interval grows with the number of gateways, so that the bytes that each
// one sends and receives stay the same.
constexpr double ReportSecondsPerGateway = 0.005;
// Interval between complete reports, which make up for lost ones.
constexpr double CompleteReportSeconds = 1;
// A gateway that has not reported for this long is presumed gone.
constexpr double SilentSeconds = 3;
constexpr double MsPerSecond = 1000;
// Prompts in one report: some 40 bytes each, and a datagram holds 1,400.
constexpr int MaxPromptsPerReport = 25;
// Some 30 bytes each.
constexpr size_t MaxPacesPerReport = 25;
// Groups that are remembered; upstreams come and go.
constexpr size_t MaxGroups = 4096;
// The upper bits of a checksum that give a fraction from 0 to below 1.
constexpr unsigned FractionShift = 32;
constexpr uint64_t FractionRange = uint64_t(1) << 32;

void fillLimit(const limit_report &Report, wire::upstream_limit &Message) {
  Message.set_stated(Report.RequestsPerSecond.has_value());
  Message.set_requests_per_second(Report.RequestsPerSecond.value_or(0));
  Message.set_age_seconds(Report.AgeSeconds);
}

/// Empty: the values are not plausible.
std::optional<limit_report> readLimit(const wire::upstream_limit &Message) {
  double Rate = Message.requests_per_second();
  double Age = Message.age_seconds();
  if (!std::isfinite(Rate) || Rate < 0 || !std::isfinite(Age) || Age < 0)
    return std::nullopt;
  limit_report Report{.AgeSeconds = Age};
  if (Message.stated())
    Report.RequestsPerSecond = Rate;
  return Report;
}

} // namespace

void peer_work_totals::change(gateway_report &Gateway, uint64_t Upstream,
                              upstream_work Work) {
  upstream_work &Last = Gateway.Work[Upstream];
  upstream_work &Sum = Sums[Upstream];
  Sum.PrefillSeconds += Work.PrefillSeconds - Last.PrefillSeconds;
  Sum.InFlight += Work.InFlight - Last.InFlight;
  Sum.Connections += Work.Connections - Last.Connections;
  Last = Work;
  if (Work.InFlight == 0 && Work.Connections == 0)
    Gateway.Work.erase(Upstream);
  if (Sum.InFlight == 0 && Sum.Connections == 0)
    Sums.erase(Upstream);
}

void peer_work_totals::drop(gateway_report &Gateway) {
  while (!Gateway.Work.empty())
    change(Gateway, Gateway.Work.begin()->first, {});
}

void peer_work_totals::update(const wire::work_news &Report, double Now) {
  gateway_report &Gateway = Gateways[Report.gateway()];
  if (Report.sequence() <= Gateway.Sequence)
    return;
  Gateway.Sequence = Report.sequence();
  Gateway.ReceivedAt = Now;
  if (Report.whole())
    drop(Gateway);
  for (const wire::upstream_work &Work : Report.works())
    change(Gateway, Work.upstream(),
           {.PrefillSeconds =
                Work.in_flight() == 0 ? 0 : Work.prompt_ms() / MsPerSecond,
            .InFlight = Work.in_flight(),
            .Connections = std::max(Work.connections(), Work.in_flight())});
}

void peer_work_totals::forgetSilent(double Now) {
  for (auto It = Gateways.begin(); It != Gateways.end();) {
    bool Silent = It->second.ReceivedAt + SilentSeconds < Now;
    if (Silent)
      drop(It->second);
    It = Silent ? Gateways.erase(It) : std::next(It);
  }
}

upstream_work peer_work_totals::at(uint64_t Upstream) const {
  auto It = Sums.find(Upstream);
  return It == Sums.end() ? upstream_work() : It->second;
}

peer_work::peer_work(struct ev_loop *Loop, const upstream_table &Upstreams,
                     peer_work_options NewOptions)
    : Upstreams(Upstreams), Options(std::move(NewOptions)),
      Socket(Loop, [this](const std::string &From,
                          std::string_view Bytes) { receive(From, Bytes); }),
      Timer(Loop, [this] { tick(); }) {}

bool peer_work::bind() {
  if (Options.Address.empty())
    return true;
  Timer.startOnce(CompleteReportSeconds);
  return Socket.bind(Options.Address);
}

void peer_work::setGateways(const std::vector<std::string> &Addresses) {
  Gateways = {Addresses.begin(), Addresses.end()};
  Gateways.erase(Socket.address());
  Groups.clear();
  logLine(log_level::Info, "gateways that report their work",
          {{"gateways", int64_t(Gateways.size())}});
}

gateway_group peer_work::groupFor(uint64_t Upstream) const {
  if (Gateways.empty())
    return {};
  if (auto It = Groups.find(Upstream); It != Groups.end())
    return It->second;
  if (Groups.size() >= MaxGroups)
    Groups.clear();
  uint64_t Own = checksum(Socket.address(), Upstream);
  size_t Rank = size_t(std::count_if(Gateways.begin(), Gateways.end(),
                                     [=](const std::string &Gateway) {
                                       return checksum(Gateway, Upstream) < Own;
                                     }));
  size_t Count = Gateways.size() + 1;
  double Fraction = double(Own >> FractionShift) / double(FractionRange);
  return Groups[Upstream] = {.Gateways = Count,
                             .Rank = Rank,
                             .Phase =
                                 (double(Rank) + Fraction) / double(Count)};
}

void peer_work::reportChange(const upstream &Upstream) {
  if (Gateways.empty())
    return;
  if (Changed.empty())
    scheduleReport();
  Changed.insert(Upstream.Key);
}

void peer_work::scheduleReport() {
  if (Gateways.empty())
    return;
  double Interval = std::max(MinReportSeconds,
                             ReportSecondsPerGateway * double(Gateways.size()));
  double Due = SentAt + Interval - steadySeconds();
  Timer.startOnce(std::max(0.0, Due));
}

void peer_work::reportLoad(const upstream &Upstream, uint32_t Load) {
  if (Gateways.empty())
    return;
  PendingLoads[Upstream.Key] = Load;
  reportChange(Upstream);
}

void peer_work::reportResponse(const upstream &Upstream, bool Failed) {
  if (Gateways.empty())
    return;
  answers &Pending = PendingAnswers[Upstream.Key];
  ++Pending.All;
  Pending.Failures += Failed;
  reportChange(Upstream);
}

void peer_work::reportCrash(const upstream &Upstream) {
  if (Gateways.empty())
    return;
  PendingCrashes.insert(Upstream.Key);
  reportChange(Upstream);
}

// The last block is the suffix, which no other prompt shares: its key is of no
// use to other gateways, but it takes room in the cache.
void peer_work::reportPrompt(const upstream &Upstream,
                             std::span<const prompt_block> Blocks) {
  if (Gateways.empty() || Blocks.empty() ||
      Pending.prompts_size() >= MaxPromptsPerReport)
    return;
  wire::prompt_sent *Sent = Pending.add_prompts();
  Sent->set_upstream(Upstream.Key);
  for (const prompt_block &Block : Blocks.first(Blocks.size() - 1)) {
    Sent->add_keys(Block.Key);
    Sent->add_tokens(Block.Tokens);
  }
  Sent->set_rest(Blocks.back().Tokens);
}

void peer_work::tick() {
  double Now = steadySeconds();
  Others.forgetSilent(Now);
  sendReport(Now >= CompleteSentAt + CompleteReportSeconds);
  Timer.startOnce(CompleteReportSeconds);
}

// The next upstreams whose pace is reported. Paces last, so a part of them in
// each complete report is enough.
std::set<uint64_t> peer_work::upstreamsWithPace() {
  const auto &All = Upstreams.all();
  std::set<uint64_t> Keys;
  size_t Count = std::min(All.size(), MaxPacesPerReport);
  if (Count == 0)
    return Keys;
  auto It = std::next(All.begin(), ptrdiff_t(ReportedPaces % All.size()));
  for (size_t I = 0; I < Count; ++I) {
    if (OwnPace(It->second->Key).Weight > 0)
      Keys.insert(It->second->Key);
    if (++It == All.end())
      It = All.begin();
  }
  ReportedPaces += Count;
  return Keys;
}

void peer_work::sendReport(bool Complete) {
  wire::work_news Report;
  Report.set_gateway(Options.Incarnation);
  Report.set_sequence(++Sequence);
  Report.set_whole(Complete);
  Report.mutable_prompts()->Swap(Pending.mutable_prompts());
  std::set<uint64_t> WithPace;
  if (Complete && OwnPace)
    WithPace = upstreamsWithPace();
  for (const auto &[Id, Upstream] : Upstreams.all()) {
    auto Load = PendingLoads.find(Upstream->Key);
    bool HasLoad = Load != PendingLoads.end();
    bool Included = Complete ? Upstream->InFlight + Upstream->Connections > 0
                             : Changed.contains(Upstream->Key);
    bool Ended = PendingCrashes.contains(Upstream->Key);
    auto Answers = PendingAnswers.find(Upstream->Key);
    bool HasAnswers = Answers != PendingAnswers.end();
    auto Limit = Upstream->Limit.report(steadySeconds());
    bool TellsLimit = Complete && Limit;
    bool TellsPace = WithPace.contains(Upstream->Key);
    if (!Included && !HasLoad && !Ended && !HasAnswers && !TellsLimit &&
        !TellsPace)
      continue;
    wire::upstream_work *Work = Report.add_works();
    Work->set_upstream(Upstream->Key);
    Work->set_prompt_ms(uint32_t(Upstream->PrefillSeconds * MsPerSecond));
    Work->set_in_flight(Upstream->InFlight);
    Work->set_connections(Upstream->Connections);
    if (HasLoad)
      Work->set_told_load(Load->second + 1);
    Work->set_ended(Ended);
    if (Limit)
      fillLimit(*Limit, *Work->mutable_limit());
    if (TellsPace) {
      learned_pace Pace = OwnPace(Upstream->Key);
      Work->set_pace(float(Pace.Pace));
      Work->set_pace_weight(float(Pace.Weight));
    }
    if (HasAnswers) {
      Work->set_answers(Answers->second.All);
      Work->set_failures(Answers->second.Failures);
    }
  }
  PendingLoads.clear();
  PendingCrashes.clear();
  PendingAnswers.clear();
  Changed.clear();
  if (OnSendReport)
    OnSendReport(Report);
  std::string Bytes = Report.SerializeAsString();
  for (const std::string &Gateway : Gateways)
    Socket.send(Gateway, Bytes);
  SentAt = steadySeconds();
  if (Complete)
    CompleteSentAt = SentAt;
}

void peer_work::receive(const std::string &From, std::string_view Bytes) {
  wire::work_news Report;
  if (!Gateways.contains(From) ||
      !Report.ParseFromArray(Bytes.data(), int(Bytes.size())))
    return;
  Others.update(Report, steadySeconds());
  if (OnReportReceived)
    OnReportReceived(Report);
  for (const wire::upstream_work &Work : Report.works()) {
    if (OnLoad && Work.told_load() > 0)
      OnLoad(Work.upstream(), Work.told_load() - 1);
    if (OnAnswers && Work.answers() > 0)
      OnAnswers(Work.upstream(), Work.answers(), Work.failures());
    if (OnLimit && Work.has_limit())
      if (auto Limit = readLimit(Work.limit()))
        OnLimit(Work.upstream(), *Limit);
    if (OnPace && Work.pace_weight() > 0)
      OnPace(Report.gateway(), Work.upstream(),
             {.Pace = Work.pace(), .Weight = Work.pace_weight()});
    if (OnCrash && Work.ended())
      OnCrash(Work.upstream());
  }
  if (!OnPromptSent)
    return;
  std::vector<prompt_block> Blocks;
  for (const wire::prompt_sent &Sent : Report.prompts()) {
    Blocks.clear();
    int Count = std::min(Sent.keys_size(), Sent.tokens_size());
    for (int I = 0; I < Count; ++I)
      Blocks.push_back({.Key = Sent.keys(I), .Tokens = Sent.tokens(I)});
    // The suffix gets a key that no request has.
    Blocks.push_back({.Key = ++SuffixCount, .Tokens = Sent.rest()});
    OnPromptSent(Sent.upstream(), Blocks);
  }
}

} // namespace olivevalve
