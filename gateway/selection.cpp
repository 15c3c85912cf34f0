//===- selection.cpp - Selects the upstream for an attempt ----------------===//

#include "gateway/selection.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double UnavailableSeconds = 1e9;
// Prompts have three or four blocks; a request head has room for a thousand.
constexpr size_t MaxPromptBlocks = 16;

// A description of blocks larger than the prompt is ignored: an absurdly large
// block would evict all that an upstream is assumed to have cached.
std::vector<prompt_block> blocksOf(const platform::model_request &Request,
                                   std::string_view Model) {
  std::vector<prompt_block> Blocks;
  uint64_t Sum = 0;
  for (const platform::prefix_block &Part : Request.PrefixBlocks)
    Sum += Part.Tokens;
  if (Sum > Request.PromptTokens ||
      Request.PrefixBlocks.size() > MaxPromptBlocks)
    return Blocks;
  uint64_t Key = checksum(Model);
  for (const platform::prefix_block &Part : Request.PrefixBlocks) {
    Key = checksum({reinterpret_cast<const char *>(&Part.Id), sizeof(Part.Id)},
                   Key);
    Blocks.push_back({.Key = Key, .Tokens = Part.Tokens});
  }
  return Blocks;
}

/// Upstreams that may take the request, those with the software version that it
/// is assigned to first.
struct candidates {
  std::vector<std::shared_ptr<upstream>> Preferred;
  std::vector<std::shared_ptr<upstream>> Alternatives;
  /// When preferred upstreams that this gateway may send no more take requests
  /// again.
  reopening Held;
};

/// Leaves the upstreams that a canary's requests go to: the first in the order
/// of their keys, so that all gateways use the same. Those that were tried are
/// replaced by the next.
void keepCanaryUpstreams(const selection_request &Request,
                         std::vector<std::shared_ptr<upstream>> &Upstreams) {
  std::erase_if(Upstreams, [&](const auto &Each) {
    return Request.Tried.contains(Each->Listed.Id);
  });
  if (Upstreams.size() > CanaryUpstreams)
    Upstreams.resize(CanaryUpstreams);
}

candidates candidatesFor(gateway_state &State, const routing_table &Routing,
                         const selection_request &Request,
                         const session_pin *Pin) {
  const std::string &Service = Request.Service;
  const std::string &Stable = State.Upstreams.stableVersion(Service);
  uint64_t SessionHash = sessionHash(Service, Request.Facts);
  std::string Pinned = Pin ? Pin->Version : std::string();
  if (!Pin && State.Pins.isPinnedToStable(SessionHash, Request.Now))
    Pinned = Stable;
  else if (!Pin && State.Pins.isPinnedToCanary(SessionHash, Request.Now))
    Pinned = State.Versions.target(Service);
  const std::string &Version = State.Versions.versionFor(
      Service, Stable, Pinned, SessionHash, canaryShareOf(State, Service));
  std::string_view Reverted = State.Versions.revertedVersion(Service);
  candidates Found;
  for (const auto &Each : State.Upstreams.ofService(Service)) {
    if (Each->Listed.Version == Reverted)
      continue;
    bool Preferred = Each->Listed.Version == Version;
    send_permit Permit = permitFor(State, Routing, *Each, Request.Now);
    if (Permit.granted()) {
      (Preferred ? Found.Preferred : Found.Alternatives).push_back(Each);
      continue;
    }
    bool Shared = Permit.Reason == hold_reason::WarmUp ||
                  Permit.Reason == hold_reason::Limit;
    if (!Shared)
      continue;
    State.Metrics->count("upstreams_held_back", nameOf(Permit.Reason));
    if (Preferred)
      Found.Held.add(Permit);
  }
  if (State.Versions.isCanaryVersion(Service, Version))
    keepCanaryUpstreams(Request, Found.Preferred);
  // A request that is newly assigned to the version being rolled out goes to
  // the stable version rather than wait, never the other way round.
  if (Pinned.empty() && Version != Stable)
    Found.Held = {};
  return Found;
}

/// Responses of all upstreams together; zero if none of them can count as
/// failing more than the others, as there may be thousands and this runs for
/// each request.
answer_counts
totalAnswers(const std::vector<std::shared_ptr<upstream>> &Upstreams,
             double Now) {
  bool Any = std::any_of(Upstreams.begin(), Upstreams.end(), [](const auto &U) {
    return U->Answers.hasEnoughFailures();
  });
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

/// True if \p Upstream fails more than the others. \p All: the responses of all
/// upstreams, including its own.
bool failsMoreThanOthers(const answer_counts &All, const upstream &Upstream,
                         double Now) {
  if (!Upstream.Answers.hasEnoughFailures())
    return false;
  answer_counts Own = Upstream.Answers.at(Now);
  return hasExcessFailures(Own, {.Answers = All.Answers - Own.Answers,
                                 .Failures = All.Failures - Own.Failures});
}

std::vector<upstream_view>
viewsOf(const gateway_state &State, const selection_request &Request,
        const std::vector<std::shared_ptr<upstream>> &Upstreams) {
  double Now = Request.Now;
  bool NotRepeatable = !Request.Route.repeatable();
  std::vector<upstream_view> Views;
  Views.reserve(Upstreams.size());
  bool ReceivesAll = State.Peers->receivesFromAll(State.Gateways);
  bool Learns = State.Paces.learns(Request.Service);
  answer_counts All = totalAnswers(Upstreams, Now);
  for (const auto &Each : Upstreams) {
    upstream_work Others = State.Peers->at(Each->Key);
    Views.push_back(
        {.Id = Each->Listed.Id,
         .Load = Each->load(Now, Others.InFlight),
         .ObservedLoad = ReceivesAll ? Each->load(Now, Others.InFlight)
                                     : double(Each->InFlight + Others.InFlight),
         .LoadKnown = ReceivesAll || Each->hasFreshLoad(Now),
         .Slots = double(Each->Listed.Slots),
         .SameHall = Each->Listed.DataHall == State.DataHall,
         .Suspect = failsMoreThanOthers(All, *Each, Now) ||
                    Each->suspect(Now) ||
                    (NotRepeatable && Each->unrecovered(Now)),
         .PrefillSeconds = Each->PrefillSeconds + Others.PrefillSeconds,
         .Slowdown = Each->Slowdown.value(),
         .Pace = Learns ? State.Paces.cautiousPaceOf(Each->Key, Now) : 1});
  }
  return Views;
}

/// True if an upstream tells how long work takes there. Where none does, all
/// read a prompt in the same time, and the load alone decides who keeps it.
bool tellSlowdown(const std::vector<std::shared_ptr<upstream>> &Upstreams) {
  return std::any_of(Upstreams.begin(), Upstreams.end(),
                     [](const auto &U) { return U->Slowdown.known(); });
}

/// Marks the upstreams that are to keep the shared prefix of the prompt.
void assignKeepers(const gateway_state &State, const prompt_work &Work,
                   double Now, std::vector<upstream_view> &Upstreams) {
  uint64_t Prefix = Work.Prompt.SharedPrefixKey;
  if (Prefix == 0)
    return;
  double SecondsEach = Work.TotalSeconds - Work.Prompt.SharedPrefillSeconds;
  double PerSecond = State.PrefixRates.perSecond(Prefix, Now) *
                     State.Peers->reportScale(State.Gateways);
  markKeepers(Upstreams, Prefix, keeperCount(PerSecond, SecondsEach));
}

selection pick(gateway_state &State, const routing_table &Routing,
               const selection_request &Request,
               std::vector<std::shared_ptr<upstream>> Upstreams,
               const prompt_work &Work) {
  std::vector<upstream_view> Views = viewsOf(State, Request, Upstreams);
  estimateUnobservedLoad(Views);
  selection Selected;
  if (Request.Facts.Model) {
    Selected.WaitSeconds = expectedSlotWait(
        Views, State.ServicePaces[Request.Service].meanSlotSeconds());
    Selected.BacklogSeconds = meanPrefillSeconds(Views);
  }
  for (size_t I = 0; I < Views.size(); ++I)
    if (Request.Facts.Model)
      Views[I].UncachedPrefillSeconds =
          prefillSeconds(State, Routing, Request, Work, *Upstreams[I]);
  if (State.AssignsKeepers && tellSlowdown(Upstreams))
    assignKeepers(State, Work, Request.Now, Views);
  for (size_t I = Views.size(); I-- > 0;)
    if (Request.Tried.contains(Upstreams[I]->Listed.Id)) {
      Views.erase(Views.begin() + ptrdiff_t(I));
      Upstreams.erase(Upstreams.begin() + ptrdiff_t(I));
    }
  auto Chosen = Request.Facts.Model
                    ? chooseEarliestFirstToken(Views, Work.Prompt, State.Random)
                    : chooseLeastLoaded(Views, State.Random);
  if (Chosen) {
    Selected.Upstream = Upstreams[*Chosen];
    Selected.PrefillSeconds = Views[*Chosen].PrefillSeconds;
    if (Work.Prompt.SharedPrefillSeconds > 0)
      Selected.Reuse = reuseAt(Views, Work.Prompt, *Chosen);
    if (State.Paces.learns(Request.Service))
      Selected.TimeFactor =
          State.Paces.paceOf(Selected.Upstream->Key, Request.Now) *
          Views[*Chosen].Slowdown;
  }
  return Selected;
}

} // namespace

uint64_t sessionHash(const std::string &Service,
                     const platform::caller_facts &Facts) {
  return checksum(Facts.Session.empty() ? Facts.AttemptId : Facts.Session,
                  checksum(Service));
}

double canaryShareOf(const gateway_state &State, const std::string &Service) {
  const std::string &Target = State.Versions.target(Service);
  const auto &All = State.Upstreams.ofService(Service);
  return canaryShare(
      size_t(std::count_if(All.begin(), All.end(), [&](const auto &Each) {
        return Each->Listed.Version != Target;
      })));
}

std::string_view modelAt(const route_spec &Route,
                         const platform::caller_facts &Facts,
                         size_t ModelIndex) {
  if (!Facts.Model)
    return "";
  return ModelIndex < Route.Sizes.size()
             ? std::string_view(Route.Sizes[ModelIndex])
             : std::string_view(Facts.Model->Model);
}

double costPerThousandTokens(const routing_table &Routing,
                             const route_spec &Route,
                             const std::string &Service, size_t ModelIndex) {
  const routed_service *Spec = Routing.service(Service);
  if (!Spec || !Spec->Engine || ModelIndex >= Route.Sizes.size())
    return 0;
  for (const model_cost &Model : Spec->Engine->Models)
    if (Model.Name == Route.Sizes[ModelIndex])
      return Model.CostPerThousandTokens;
  return 0;
}

double relativeCost(const routing_table &Routing, const route_spec &Route,
                    const std::string &Service, size_t ModelIndex) {
  double Smallest = costPerThousandTokens(Routing, Route, Service, 0);
  double Cost = costPerThousandTokens(Routing, Route, Service, ModelIndex);
  return Smallest > 0 && Cost > 0 ? Cost / Smallest : 1;
}

prompt_work promptWork(const gateway_state &State, const routing_table &Routing,
                       const selection_request &Request) {
  if (!Request.Facts.Model)
    return {};
  const platform::model_request &Model = *Request.Facts.Model;
  std::string Name(modelAt(Request.Route, Request.Facts, Request.ModelIndex));
  double Cost =
      relativeCost(Routing, Request.Route, Request.Service, Request.ModelIndex);
  auto SecondsFor = [&](uint32_t Tokens) {
    return State.PrefillEstimator.estimateSeconds(Name, Cost, Tokens);
  };
  double Seconds = SecondsFor(Model.PromptTokens);
  std::vector<prompt_block> Blocks = blocksOf(Model, Name);
  // The last block is the suffix, which no other prompt shares.
  uint32_t SharedTokens = 0;
  for (size_t I = 0; I + 1 < Blocks.size(); ++I)
    SharedTokens += Blocks[I].Tokens;
  uint64_t SharedPrefixKey = sharedPrefixKey(Blocks);
  return {.Prompt = {.PrefillSeconds = Seconds,
                     .SharedPrefillSeconds = SecondsFor(SharedTokens),
                     .SharedPrefixKey = SharedPrefixKey,
                     .OutputSeconds = State.Paces.outputSeconds(
                         Request.Service, Name, expectedOutputTokens(Model)),
                     .TargetSecondsLeft = Request.TargetSecondsLeft},
          .Blocks = std::move(Blocks),
          .TotalSeconds = Seconds + SecondsFor(InputTokensPerOutputToken *
                                               expectedOutputTokens(Model))};
}

double prefillSeconds(const gateway_state &State, const routing_table &Routing,
                      const selection_request &Request, const prompt_work &Work,
                      const upstream &Upstream) {
  return State.PrefillEstimator.estimateSeconds(
      std::string(modelAt(Request.Route, Request.Facts, Request.ModelIndex)),
      relativeCost(Routing, Request.Route, Request.Service, Request.ModelIndex),
      Request.Facts.Model->PromptTokens,
      State.PrefixCaches.cachedTokens(Upstream.Key, Work.Blocks));
}

uint32_t expectedOutputTokens(const platform::model_request &Model) {
  return std::max(1U,
                  Model.OutputTokensHint.value_or(Model.MaxOutputTokens / 2));
}

request_estimate estimateRequest(gateway_state &State,
                                 const routing_table &Routing,
                                 const selection_request &Request) {
  selection Selected = select(State, Routing, Request);
  const std::shared_ptr<upstream> &Upstream = Selected.Upstream;
  prompt_work Work = promptWork(State, Routing, Request);
  double Read = Upstream
                    ? prefillSeconds(State, Routing, Request, Work, *Upstream)
                    : Work.Prompt.PrefillSeconds;
  request_estimate Estimate{.BacklogSeconds = Selected.BacklogSeconds,
                            .UpstreamSeconds = Read + Work.TotalSeconds -
                                               Work.Prompt.PrefillSeconds,
                            .FirstTokenSeconds = UnavailableSeconds,
                            .WaitSeconds = Selected.WaitSeconds};
  if (Upstream)
    Estimate.FirstTokenSeconds =
        FirstTokenOverheadSeconds +
        (Selected.PrefillSeconds + Read) * Selected.TimeFactor;
  return Estimate;
}

service_room roomFor(const gateway_state &State,
                     const selection_request &Request) {
  std::vector<std::shared_ptr<upstream>> Usable;
  for (const auto &Each : State.Upstreams.ofService(Request.Service))
    if (Each->acceptsRequests(Request.Now) && !Each->suspect(Request.Now))
      Usable.push_back(Each);
  std::vector<upstream_view> Views = viewsOf(State, Request, Usable);
  estimateUnobservedLoad(Views);
  service_room Room{.TargetSeconds = Request.Route.TargetSeconds};
  for (const upstream_view &Each : Views) {
    Room.Slots += Each.Slots;
    Room.Load += Each.Load;
  }
  return Room;
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
      pick(State, Routing, Request, std::move(Found.Preferred), Work);
  if (Selected.Upstream)
    return Selected;
  if (Found.Held.Seconds > 0) {
    Selected.Held = Found.Held;
    return Selected;
  }
  return pick(State, Routing, Request, std::move(Found.Alternatives), Work);
}

} // namespace olivevalve
