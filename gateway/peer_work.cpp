//===- peer_work.cpp - What all gateways have under way -------------------===//

#include "gateway/peer_work.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// News go out at once after a pause and at most this often: two gateways that
// choose within one interval may choose alike.
constexpr double LeastInterval = 0.1;
// With more gateways the interval grows, so that the bytes of each stay.
constexpr double IntervalPerGateway = 0.005;
// All that is under way, in case news were lost.
constexpr double WholeInterval = 1;
// A gateway that has told nothing for so long is gone.
constexpr double SilentSeconds = 3;
constexpr double MsPerSecond = 1000;
// Of one message: some 40 bytes each, and a datagram takes 1,400.
constexpr int MostPromptsTold = 25;

} // namespace

void work_of_others::change(gateway_news &Gateway, uint64_t Upstream,
                            upstream_work Work) {
  upstream_work &Told = Gateway.Works[Upstream];
  upstream_work &Sum = Sums[Upstream];
  Sum.PromptSeconds += Work.PromptSeconds - Told.PromptSeconds;
  Sum.InFlight += Work.InFlight - Told.InFlight;
  Told = Work;
  if (Work.InFlight == 0)
    Gateway.Works.erase(Upstream);
  if (Sum.InFlight == 0)
    Sums.erase(Upstream);
}

void work_of_others::drop(gateway_news &Gateway) {
  while (!Gateway.Works.empty())
    change(Gateway, Gateway.Works.begin()->first, {});
}

void work_of_others::heard(const wire::work_news &News, double Now) {
  gateway_news &Gateway = Gateways[News.gateway()];
  if (News.sequence() <= Gateway.Sequence)
    return;
  Gateway.Sequence = News.sequence();
  Gateway.HeardAt = Now;
  if (News.whole())
    drop(Gateway);
  for (const wire::upstream_work &Work : News.works())
    change(Gateway, Work.upstream(),
           {.PromptSeconds =
                Work.in_flight() == 0 ? 0 : Work.prompt_ms() / MsPerSecond,
            .InFlight = Work.in_flight()});
}

void work_of_others::forgetSilent(double Now) {
  for (auto It = Gateways.begin(); It != Gateways.end();) {
    bool Silent = It->second.HeardAt + SilentSeconds < Now;
    if (Silent)
      drop(It->second);
    It = Silent ? Gateways.erase(It) : std::next(It);
  }
}

upstream_work work_of_others::at(uint64_t Upstream) const {
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
  Timer.startOnce(WholeInterval);
  return Socket.bind(Options.Address);
}

void peer_work::setGateways(const std::vector<std::string> &Addresses) {
  Gateways = {Addresses.begin(), Addresses.end()};
  Gateways.erase(Socket.address());
  logLine(log_level::Info, "gateways that tell their work",
          {{"gateways", int64_t(Gateways.size())}});
}

warming_circle peer_work::circleOf(uint64_t Upstream) const {
  if (Gateways.empty())
    return {};
  uint64_t Own = checksum(Socket.address(), Upstream);
  size_t Before = size_t(std::count_if(
      Gateways.begin(), Gateways.end(), [=](const std::string &Gateway) {
        return checksum(Gateway, Upstream) < Own;
      }));
  return {.Gateways = Gateways.size() + 1, .Rank = Before};
}

void peer_work::changed(const upstream &Upstream) {
  if (Gateways.empty())
    return;
  if (Changed.empty())
    hasNews();
  Changed.insert(Upstream.Place);
}

void peer_work::hasNews() {
  if (Gateways.empty())
    return;
  double Interval =
      std::max(LeastInterval, IntervalPerGateway * double(Gateways.size()));
  double Due = ToldAt + Interval - steadySeconds();
  Timer.startOnce(std::max(0.0, Due));
}

void peer_work::heardLoad(const upstream &Upstream, uint32_t Load) {
  if (Gateways.empty())
    return;
  UntoldLoads[Upstream.Place] = Load;
  changed(Upstream);
}

void peer_work::answered(const upstream &Upstream, bool Failed) {
  if (Gateways.empty())
    return;
  answers &Untold = UntoldAnswers[Upstream.Place];
  ++Untold.All;
  Untold.Failures += Failed;
  changed(Upstream);
}

void peer_work::ended(const upstream &Upstream) {
  if (Gateways.empty())
    return;
  UntoldEnded.insert(Upstream.Place);
  changed(Upstream);
}

// The last part is the request's own: its key is of no use to others, but it
// takes room.
void peer_work::sent(const upstream &Upstream,
                     std::span<const prompt_piece> Pieces) {
  if (Gateways.empty() || Pieces.empty() ||
      Untold.prompts_size() >= MostPromptsTold)
    return;
  wire::prompt_sent *Sent = Untold.add_prompts();
  Sent->set_upstream(Upstream.Place);
  for (const prompt_piece &Piece : Pieces.first(Pieces.size() - 1)) {
    Sent->add_keys(Piece.Key);
    Sent->add_tokens(Piece.Tokens);
  }
  Sent->set_rest(Pieces.back().Tokens);
}

void peer_work::tick() {
  double Now = steadySeconds();
  Others.forgetSilent(Now);
  tell(Now >= ToldWholeAt + WholeInterval);
  Timer.startOnce(WholeInterval);
}

void peer_work::tell(bool Whole) {
  wire::work_news News;
  News.set_gateway(Options.Incarnation);
  News.set_sequence(++Sequence);
  News.set_whole(Whole);
  News.mutable_prompts()->Swap(Untold.mutable_prompts());
  for (const auto &[Id, Upstream] : Upstreams.all()) {
    auto Load = UntoldLoads.find(Upstream->Place);
    bool HasLoad = Load != UntoldLoads.end();
    bool Told =
        Whole ? Upstream->InFlight > 0 : Changed.contains(Upstream->Place);
    bool Ended = UntoldEnded.contains(Upstream->Place);
    auto Answers = UntoldAnswers.find(Upstream->Place);
    bool HasAnswers = Answers != UntoldAnswers.end();
    if (!Told && !HasLoad && !Ended && !HasAnswers)
      continue;
    wire::upstream_work *Work = News.add_works();
    Work->set_upstream(Upstream->Place);
    Work->set_prompt_ms(uint32_t(Upstream->PromptSeconds * MsPerSecond));
    Work->set_in_flight(Upstream->InFlight);
    if (HasLoad)
      Work->set_told_load(Load->second + 1);
    Work->set_ended(Ended);
    if (HasAnswers) {
      Work->set_answers(Answers->second.All);
      Work->set_failures(Answers->second.Failures);
    }
  }
  UntoldLoads.clear();
  UntoldEnded.clear();
  UntoldAnswers.clear();
  Changed.clear();
  if (OnTell)
    OnTell(News);
  std::string Bytes = News.SerializeAsString();
  for (const std::string &Gateway : Gateways)
    Socket.send(Gateway, Bytes);
  ToldAt = steadySeconds();
  if (Whole)
    ToldWholeAt = ToldAt;
}

void peer_work::receive(const std::string &From, std::string_view Bytes) {
  wire::work_news News;
  if (!Gateways.contains(From) ||
      !News.ParseFromArray(Bytes.data(), int(Bytes.size())))
    return;
  Others.heard(News, steadySeconds());
  if (OnNews)
    OnNews(News);
  for (const wire::upstream_work &Work : News.works()) {
    if (OnLoad && Work.told_load() > 0)
      OnLoad(Work.upstream(), Work.told_load() - 1);
    if (OnAnswers && Work.answers() > 0)
      OnAnswers(Work.upstream(), Work.answers(), Work.failures());
    if (OnEnded && Work.ended())
      OnEnded(Work.upstream());
  }
  if (!OnSent)
    return;
  std::vector<prompt_piece> Pieces;
  for (const wire::prompt_sent &Sent : News.prompts()) {
    Pieces.clear();
    int Known = std::min(Sent.keys_size(), Sent.tokens_size());
    for (int I = 0; I < Known; ++I)
      Pieces.push_back({.Key = Sent.keys(I), .Tokens = Sent.tokens(I)});
    // Named by what nobody asks for.
    Pieces.push_back({.Key = ++NamedRests, .Tokens = Sent.rest()});
    OnSent(Sent.upstream(), Pieces);
  }
}

} // namespace olivevalve
