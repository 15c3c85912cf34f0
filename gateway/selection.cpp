//===- selection.cpp - The upstream for one attempt -----------------------===//

#include "gateway/selection.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

// What the upstream that served a session last saves of its prompt's time: it
// still has it 7 times in 10, and what it saves also helps those behind.
constexpr double SessionKept = 0.7 * WeightOfSaved;
constexpr double NoUpstream = 1e9;

/// The part that other prompts begin with; the last part is the request's own.
uint32_t sharedTokens(const platform::model_request &Request) {
  uint32_t Tokens = 0;
  for (size_t I = 0; I + 1 < Request.Parts.size(); ++I)
    Tokens += Request.Parts[I].Tokens;
  return Tokens;
}

uint64_t sharedKey(const platform::model_request &Request, size_t ModelPlace) {
  uint64_t Key = 1 + ModelPlace;
  for (size_t I = 0; I + 1 < Request.Parts.size(); ++I)
    Key = checksum({reinterpret_cast<const char *>(&Request.Parts[I].Id),
                    sizeof(Request.Parts[I].Id)},
                   Key);
  return Key;
}

/// Upstreams that may have the request, those of the wanted software first.
struct candidates {
  std::vector<std::shared_ptr<upstream>> Wanted;
  std::vector<std::shared_ptr<upstream>> Others;
};

candidates candidatesFor(gateway_state &State, const selection_request &Request,
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
    if (!Each->takesNew() || Each->Listed.Version == Barred)
      continue;
    (Each->Listed.Version == Version ? Found.Wanted : Found.Others)
        .push_back(Each);
  }
  return Found;
}

class_fit fitOf(size_t Place, upstream_range OwnClass) {
  if (Place < OwnClass.Begin)
    return class_fit::Shorter;
  return Place < OwnClass.End ? class_fit::Own : class_fit::Longer;
}

std::vector<upstream_view>
viewsOf(const gateway_state &State, const selection_request &Request,
        const std::vector<std::shared_ptr<upstream>> &Upstreams) {
  double Now = Request.Now;
  bool Once = !Request.Route.repeatable();
  std::vector<upstream_view> Views;
  Views.reserve(Upstreams.size());
  for (const auto &Each : Upstreams) {
    upstream_work Others = State.Peers->at(Each->Place);
    Views.push_back(
        {.Id = Each->Listed.Id,
         .Load = std::max(Each->load(Now),
                          double(Each->InFlight + Others.InFlight)),
         .Slots = double(Each->Listed.Slots),
         .SameHall = Each->Listed.DataHall == State.DataHall,
         .Suspect = Each->suspect(Now) || (Once && Each->unproven(Now)),
         .PromptSeconds = Each->PromptSeconds + Others.PromptSeconds});
  }
  return Views;
}

std::shared_ptr<upstream> pick(gateway_state &State,
                               const selection_request &Request,
                               std::vector<std::shared_ptr<upstream>> Upstreams,
                               upstream_range OwnClass, const prompt_work &Work,
                               const session_pin *Pin) {
  std::vector<upstream_view> Views = viewsOf(State, Request, Upstreams);
  for (size_t I = 0; I < Views.size(); ++I) {
    Views[I].Fit = fitOf(I, OwnClass);
    if (Pin && Views[I].Id == Pin->Upstream && Request.Route.Sticky)
      Views[I].KeptSeconds = SessionKept * Work.Prompt.Seconds;
  }
  for (size_t I = Views.size(); I-- > 0;)
    if (Request.Tried.contains(Upstreams[I]->Listed.Id)) {
      Views.erase(Views.begin() + ptrdiff_t(I));
      Upstreams.erase(Upstreams.begin() + ptrdiff_t(I));
    }
  auto Place = Request.Facts.Model
                   ? chooseSoonest(Views, Work.Prompt, State.Random)
                   : chooseLeastLoaded(Views, State.Random);
  return Place ? Upstreams[*Place] : nullptr;
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

double modelCost(const routing_table &Routing, const route_spec &Route,
                 const std::string &Service, size_t ModelPlace) {
  const routed_service *Spec = Routing.service(Service);
  if (!Spec || !Spec->Engine || ModelPlace >= Route.Sizes.size())
    return 1;
  auto CostOf = [&](const std::string &Name) {
    for (const model_cost &Model : Spec->Engine->Models)
      if (Model.Name == Name)
        return Model.CostPerThousandTokens;
    return 0.0;
  };
  double Smallest = CostOf(Route.Sizes.front());
  double Cost = CostOf(Route.Sizes[ModelPlace]);
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
  return {.Prompt = {.Seconds = Seconds,
                     .SharedSeconds = SecondsFor(sharedTokens(Model)),
                     .SharedTokens = sharedTokens(Model),
                     .SharedKey = sharedKey(Model, Request.ModelPlace)},
          .WholeSeconds =
              Seconds + SecondsFor(ReadTokensPerMade * likelyTokens(Model))};
}

uint32_t likelyTokens(const platform::model_request &Model) {
  return std::max(
      1U, Model.LikelyOutputTokens.value_or(Model.MostOutputTokens / 2));
}

outlook outlookFor(gateway_state &State, const routing_table &Routing,
                   const selection_request &Request) {
  outlook Outlook;
  size_t Sound = 0;
  for (const auto &Each : State.Upstreams.ofService(Request.Service)) {
    if (!Each->takesNew() || Each->suspect(Request.Now))
      continue;
    ++Sound;
    Outlook.BacklogSeconds +=
        Each->PromptSeconds + State.Peers->at(Each->Place).PromptSeconds;
  }
  Outlook.BacklogSeconds /= double(std::max<size_t>(1, Sound));
  std::shared_ptr<upstream> Upstream = select(State, Routing, Request);
  Outlook.FirstTokenSeconds =
      Upstream ? FirstTokenSeconds + Upstream->PromptSeconds +
                     State.Peers->at(Upstream->Place).PromptSeconds +
                     promptWork(State, Routing, Request).Prompt.Seconds
               : NoUpstream;
  return Outlook;
}

std::shared_ptr<upstream> select(gateway_state &State,
                                 const routing_table &Routing,
                                 const selection_request &Request) {
  const std::string &Session = Request.Facts.Session;
  const session_pin *Pin =
      Session.empty() ? nullptr
                      : State.Pins.find(Request.Service, Session, Request.Now);
  candidates Found = candidatesFor(State, Request, Pin);
  prompt_work Work = promptWork(State, Routing, Request);
  if (Pin &&
      Pin->Model != modelAt(Request.Route, Request.Facts, Request.ModelPlace))
    Pin = nullptr;
  upstream_range OwnClass{0, Found.Wanted.size()};
  auto Shares = State.Shares.find(Request.Service);
  if (Request.Facts.Model && Shares != State.Shares.end())
    OwnClass = Shares->second.rangeOf(workClassOf(Work.Prompt.Seconds),
                                      Found.Wanted.size());
  std::shared_ptr<upstream> Chosen =
      pick(State, Request, std::move(Found.Wanted), OwnClass, Work, Pin);
  if (Chosen)
    return Chosen;
  size_t Others = Found.Others.size();
  return pick(State, Request, std::move(Found.Others), {0, Others}, Work, Pin);
}

} // namespace olivevalve
