//===- selection.cpp - The upstream for one attempt -----------------------===//

#include "gateway/selection.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double NoUpstream = 1e9;
// A gateway that has no share of a cold upstream looks again after so long.
constexpr double NoShareSeconds = 0.5;
// Prompts have three or four; a head has room for a thousand.
constexpr size_t MostParts = 16;

// A caller that names parts larger than its prompt is not believed: an absurd
// part would push out all that an upstream is known to keep.
std::vector<prompt_piece> piecesOf(const platform::model_request &Request,
                                   std::string_view Model) {
  std::vector<prompt_piece> Pieces;
  uint64_t Sum = 0;
  for (const platform::prompt_part &Part : Request.Parts)
    Sum += Part.Tokens;
  if (Sum > Request.PromptTokens || Request.Parts.size() > MostParts)
    return Pieces;
  uint64_t Key = checksum(Model);
  for (const platform::prompt_part &Part : Request.Parts) {
    Key = checksum({reinterpret_cast<const char *>(&Part.Id), sizeof(Part.Id)},
                   Key);
    Pieces.push_back({.Key = Key, .Tokens = Part.Tokens});
  }
  return Pieces;
}

/// Upstreams that may have the request, those of the wanted software first.
struct candidates {
  std::vector<std::shared_ptr<upstream>> Wanted;
  std::vector<std::shared_ptr<upstream>> Others;
  /// Until one of the wanted that are cold may have a request; 0: none is.
  double ColdSeconds = 0;
};

/// Seconds until this gateway may send a request there; 0: at once.
double coldWait(const gateway_state &State, const routing_table &Routing,
                upstream &Upstream, double Now) {
  if (!Upstream.cold(Now))
    return 0;
  if (Upstream.Warming.allows(Now)) {
    auto Share = coldShare(State, Routing, Upstream, Now);
    if (!Share || *Share > 0)
      return 0;
    Upstream.Warming.waitUntil(Now + NoShareSeconds);
  }
  return Upstream.Warming.nextAt() - Now;
}

candidates candidatesFor(gateway_state &State, const routing_table &Routing,
                         const selection_request &Request,
                         const session_pin *Pin) {
  const std::string &Service = Request.Service;
  const std::string &Settled = State.Upstreams.settledVersion(Service);
  uint64_t Draw = versionDraw(Service, Request.Facts);
  std::string Pinned = Pin ? Pin->Version : std::string();
  if (!Pin && State.Pins.stays(Draw, Request.Now))
    Pinned = Settled;
  const std::string &Version =
      State.Versions.versionFor(Service, Settled, Pinned, Draw);
  std::string_view Barred = State.Versions.barred(Service);
  candidates Found;
  for (const auto &Each : State.Upstreams.ofService(Service)) {
    if (!Each->takesNew(Request.Now) || Each->Listed.Version == Barred)
      continue;
    bool Wanted = Each->Listed.Version == Version;
    double Wait = coldWait(State, Routing, *Each, Request.Now);
    if (Wait == 0)
      (Wanted ? Found.Wanted : Found.Others).push_back(Each);
    else if (Wanted && (Found.ColdSeconds == 0 || Wait < Found.ColdSeconds))
      Found.ColdSeconds = Wait;
  }
  // One on trial may go to the settled version instead, never the other way
  // round.
  if (Pinned.empty() && Version != Settled)
    Found.ColdSeconds = 0;
  return Found;
}

/// Answers of all of them; none where none can fail more than the others: there
/// may be thousands, asked for each request.
answer_counts
answersToCompare(const std::vector<std::shared_ptr<upstream>> &Upstreams,
                 double Now) {
  bool Any = std::any_of(Upstreams.begin(), Upstreams.end(),
                         [](const auto &U) { return U->Answers.mayFail(); });
  answer_counts Sum;
  if (!Any)
    return Sum;
  for (const auto &Each : Upstreams) {
    answer_counts Counts = Each->Answers.at(Now);
    Sum.Answers += Counts.Answers;
    Sum.Failures += Counts.Failures;
  }
  return Sum;
}

/// It fails more than the others, of which \p All are with its own.
bool failsAmong(const answer_counts &All, const upstream &Upstream,
                double Now) {
  if (!Upstream.Answers.mayFail())
    return false;
  answer_counts Own = Upstream.Answers.at(Now);
  return failsMore(Own, {.Answers = All.Answers - Own.Answers,
                         .Failures = All.Failures - Own.Failures});
}

std::vector<upstream_view>
viewsOf(const gateway_state &State, const selection_request &Request,
        const std::vector<std::shared_ptr<upstream>> &Upstreams) {
  double Now = Request.Now;
  bool Once = !Request.Route.repeatable();
  std::vector<upstream_view> Views;
  Views.reserve(Upstreams.size());
  bool HearsAll = State.Peers->hearsAll(State.Gateways);
  answer_counts All = answersToCompare(Upstreams, Now);
  for (const auto &Each : Upstreams) {
    upstream_work Others = State.Peers->at(Each->Place);
    Views.push_back(
        {.Id = Each->Listed.Id,
         .Load = Each->load(Now, Others.InFlight),
         .Seen = HearsAll ? Each->load(Now, Others.InFlight)
                          : double(Each->InFlight + Others.InFlight),
         .LoadKnown = HearsAll || Each->loadKnown(Now),
         .Slots = double(Each->Listed.Slots),
         .SameHall = Each->Listed.DataHall == State.DataHall,
         .Suspect = failsAmong(All, *Each, Now) || Each->suspect(Now) ||
                    (Once && Each->unproven(Now)),
         .PromptSeconds = Each->PromptSeconds + Others.PromptSeconds});
  }
  return Views;
}

selection pick(gateway_state &State, const routing_table &Routing,
               const selection_request &Request,
               std::vector<std::shared_ptr<upstream>> Upstreams,
               const prompt_work &Work) {
  std::vector<upstream_view> Views = viewsOf(State, Request, Upstreams);
  supposeUnseen(Views);
  selection Selected;
  if (Request.Facts.Model) {
    Selected.WaitSeconds =
        waitForSlot(Views, State.Paces[Request.Service].slotSeconds());
    Selected.BacklogSeconds = meanPromptSeconds(Views);
  }
  for (size_t I = 0; I < Views.size(); ++I)
    if (Request.Facts.Model)
      Views[I].ReadSeconds =
          readSeconds(State, Routing, Request, Work, *Upstreams[I]);
  for (size_t I = Views.size(); I-- > 0;)
    if (Request.Tried.contains(Upstreams[I]->Listed.Id)) {
      Views.erase(Views.begin() + ptrdiff_t(I));
      Upstreams.erase(Upstreams.begin() + ptrdiff_t(I));
    }
  auto Place = Request.Facts.Model
                   ? chooseSoonest(Views, Work.Prompt, State.Random)
                   : chooseLeastLoaded(Views, State.Random);
  if (Place) {
    Selected.Upstream = Upstreams[*Place];
    Selected.PromptSeconds = Views[*Place].PromptSeconds;
  }
  return Selected;
}

} // namespace

uint64_t versionDraw(const std::string &Service,
                     const platform::caller_facts &Facts) {
  return checksum(Facts.Session.empty() ? Facts.AttemptId : Facts.Session,
                  checksum(Service));
}

std::string_view modelAt(const route_spec &Route,
                         const platform::caller_facts &Facts,
                         size_t ModelPlace) {
  if (!Facts.Model)
    return "";
  return ModelPlace < Route.Sizes.size()
             ? std::string_view(Route.Sizes[ModelPlace])
             : std::string_view(Facts.Model->Model);
}

double costOf(const routing_table &Routing, const route_spec &Route,
              const std::string &Service, size_t ModelPlace) {
  const routed_service *Spec = Routing.service(Service);
  if (!Spec || !Spec->Engine || ModelPlace >= Route.Sizes.size())
    return 0;
  for (const model_cost &Model : Spec->Engine->Models)
    if (Model.Name == Route.Sizes[ModelPlace])
      return Model.CostPerThousandTokens;
  return 0;
}

double modelCost(const routing_table &Routing, const route_spec &Route,
                 const std::string &Service, size_t ModelPlace) {
  double Smallest = costOf(Routing, Route, Service, 0);
  double Cost = costOf(Routing, Route, Service, ModelPlace);
  return Smallest > 0 && Cost > 0 ? Cost / Smallest : 1;
}

prompt_work promptWork(const gateway_state &State, const routing_table &Routing,
                       const selection_request &Request) {
  if (!Request.Facts.Model)
    return {};
  const platform::model_request &Model = *Request.Facts.Model;
  std::string Name(modelAt(Request.Route, Request.Facts, Request.ModelPlace));
  double Cost =
      modelCost(Routing, Request.Route, Request.Service, Request.ModelPlace);
  auto SecondsFor = [&](uint32_t Tokens) {
    return State.Pace.secondsFor(Name, Cost, Tokens);
  };
  double Seconds = SecondsFor(Model.PromptTokens);
  std::vector<prompt_piece> Pieces = piecesOf(Model, Name);
  // The last part is the request's own.
  uint32_t SharedTokens = 0;
  for (size_t I = 0; I + 1 < Pieces.size(); ++I)
    SharedTokens += Pieces[I].Tokens;
  uint64_t SharedKey = Pieces.size() > 1 ? Pieces[Pieces.size() - 2].Key : 0;
  return {.Prompt = {.Seconds = Seconds,
                     .SharedSeconds = SecondsFor(SharedTokens),
                     .SharedKey = SharedKey},
          .Pieces = std::move(Pieces),
          .WholeSeconds =
              Seconds + SecondsFor(ReadTokensPerMade * likelyTokens(Model))};
}

double readSeconds(const gateway_state &State, const routing_table &Routing,
                   const selection_request &Request, const prompt_work &Work,
                   const upstream &Upstream) {
  return State.Pace.secondsFor(
      std::string(modelAt(Request.Route, Request.Facts, Request.ModelPlace)),
      modelCost(Routing, Request.Route, Request.Service, Request.ModelPlace),
      Request.Facts.Model->PromptTokens,
      State.Memory.kept(Upstream.Place, Work.Pieces));
}

uint32_t likelyTokens(const platform::model_request &Model) {
  return std::max(
      1U, Model.LikelyOutputTokens.value_or(Model.MostOutputTokens / 2));
}

outlook outlookFor(gateway_state &State, const routing_table &Routing,
                   const selection_request &Request) {
  selection Selected = select(State, Routing, Request);
  const std::shared_ptr<upstream> &Upstream = Selected.Upstream;
  prompt_work Work = promptWork(State, Routing, Request);
  double Read = Upstream ? readSeconds(State, Routing, Request, Work, *Upstream)
                         : Work.Prompt.Seconds;
  outlook Outlook{.BacklogSeconds = Selected.BacklogSeconds,
                  .UpstreamSeconds =
                      Read + Work.WholeSeconds - Work.Prompt.Seconds,
                  .FirstTokenSeconds = NoUpstream,
                  .WaitSeconds = Selected.WaitSeconds};
  if (Upstream)
    Outlook.FirstTokenSeconds =
        FirstTokenSeconds + Selected.PromptSeconds + Read;
  return Outlook;
}

std::optional<double> coldShare(const gateway_state &State,
                                const routing_table &Routing,
                                const upstream &Upstream, double Now) {
  const routed_service *Service = Routing.service(Upstream.Listed.Service);
  if (!Service || Service->ColdRequestsPerSecond <= 0)
    return std::nullopt;
  if (Now < State.StartedAt + ForgottenSeconds)
    return 0;
  // Gateways that hear only those of their own data hall warm that.
  bool MayWarm = State.Peers->hearsAll(State.Gateways) ||
                 Upstream.Listed.DataHall == State.DataHall;
  warming_circle Circle;
  if (MayWarm && State.Gateways > 0)
    Circle = State.Gateways == 1 ? warming_circle{.Gateways = 1}
                                 : State.Peers->circleOf(Upstream.Place);
  return warmingShare(Service->ColdRequestsPerSecond, State.ColdBounds, Circle);
}

selection select(gateway_state &State, const routing_table &Routing,
                 const selection_request &Request) {
  const std::string &Session = Request.Facts.Session;
  const session_pin *Pin =
      Session.empty() ? nullptr
                      : State.Pins.find(Request.Service, Session, Request.Now);
  candidates Found = candidatesFor(State, Routing, Request, Pin);
  prompt_work Work = promptWork(State, Routing, Request);
  selection Selected =
      pick(State, Routing, Request, std::move(Found.Wanted), Work);
  if (Selected.Upstream)
    return Selected;
  if (Found.ColdSeconds > 0) {
    Selected.ColdSeconds = Found.ColdSeconds;
    return Selected;
  }
  return pick(State, Routing, Request, std::move(Found.Others), Work);
}

} // namespace olivevalve
