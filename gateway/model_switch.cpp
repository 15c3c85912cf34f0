//===- model_switch.cpp - Which model answers one request -----------------===//
//
// The part of forwarding that asks a larger model where that is worth it, goes
// back to the smaller one's answer, and keeps count of what prompts cost.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "base/log.h"
#include "gateway/forwarding.h"
#include "policy/model_choice.h"

namespace olivevalve {

namespace {

constexpr std::string_view AnyModel = "*";

} // namespace

request_size forwarding::size() const {
  return {.ReadTokens = Facts.Model->PromptTokens,
          .MadeTokens = likelyTokens(*Facts.Model),
          .Priority = Route->Priority};
}

bool forwarding::choosesModel() const {
  return Facts.Model && Facts.Model->Model == AnyModel && !Route->Sizes.empty();
}

// The caller holds nothing of the answer yet, so it may be dropped for one of
// a larger model.
bool forwarding::asksLargerModel() {
  // One more attempt than the larger model's, for the way back.
  bool MayComeBack = Attempts + 1 < Route->MaxAttempts;
  if (!choosesModel() || HeadSent || WentBack || Confidence < 0 ||
      !MayComeBack || !mayTryAgain(true))
    return false;
  double Now = steadySeconds();
  size_t Largest = Route->Sizes.size() - 1;
  selection_request Request = selectionAt(Now);
  Request.ModelPlace = Largest;
  outlook Outlook = outlookFor(State, *Routing, Request);
  work_sizes &Works = State.Works[Service];
  Works.weighed(Outlook.UpstreamSeconds);
  auto Larger = largerModel(
      {.Models = Route->Sizes.size(),
       .Place = ModelPlace,
       .Confidence = Confidence,
       .Size = size(),
       .LargestCost = costOf(*Routing, *Route, Service, Largest),
       .LargestSeconds = Outlook.UpstreamSeconds,
       .WorthOfSecond = worthOfSecond(State.Earnings[Service].perSecond(),
                                      Outlook.BacklogSeconds, Works.residual()),
       .RefusedShare = refusalChanceAt(Outlook.WaitSeconds),
       .InTime =
           Now + Outlook.FirstTokenSeconds < BegunAt + Route->TargetSeconds});
  logLine(log_level::Debug, "larger model weighed",
          {{"id", Facts.AttemptId},
           {"confidence", Confidence},
           {"prompt_tokens", int64_t(Facts.Model->PromptTokens)},
           {"backlog_s", Outlook.BacklogSeconds},
           {"work_s", Works.residual()},
           {"slot_wait_s", Outlook.WaitSeconds},
           {"upstream_s", Outlook.UpstreamSeconds},
           {"earned_per_s", State.Earnings[Service].perSecond()},
           {"first_token_s", Outlook.FirstTokenSeconds},
           {"asked", int64_t(Larger.has_value())}});
  if (!Larger || !takeRepeat("larger model"))
    return false;
  LargerPlace = *Larger;
  return true;
}

// The answer that has begun is ready: it is kept until the caller has one of
// the larger model. Let go of at once it was lost where the larger model's
// upstream refused, and its caller was told that nothing had run.
void forwarding::askLargerModel() {
  auto Keep = shared_from_this();
  Upstream->answered();
  countAnswer(false);
  logLine(log_level::Info, "larger model asked",
          {{"id", Facts.AttemptId},
           {"confidence", Confidence},
           {"upstream", Upstream->Listed.Id},
           {"asked", Model},
           {"asks", Route->Sizes[LargerPlace]},
           {"prompt_tokens", int64_t(Facts.Model->PromptTokens)},
           {"seconds_there", steadySeconds() - SentAt}});
  Spare = std::make_unique<spare_answer>(
      State,
      spare_answer_parts{.Upstream = std::exchange(Upstream, nullptr),
                         .Connection = std::exchange(Connection, nullptr),
                         .Answer = std::exchange(Answer, {}),
                         .Events = std::exchange(Events, {}),
                         .ModelPlace = ModelPlace,
                         .Confidence = Confidence,
                         .Request = Identity});
  ModelPlace = LargerPlace;
  MayHaveRun = true;
  attempt();
}

// The larger model gives nothing in time: the caller gets what was kept, and
// what lacks comes from the same connection or another upstream.
void forwarding::goBack(std::string_view Why) {
  auto Keep = shared_from_this();
  logLine(log_level::Info, "back to the smaller model's answer",
          {{"id", Facts.AttemptId},
           {"why", Why},
           {"whole", int64_t(Spare->whole())},
           {"bytes", int64_t(Spare->events().size())},
           {"seconds", steadySeconds() - BegunAt}});
  std::unique_ptr<spare_answer> Back = std::exchange(Spare, nullptr);
  spare_answer_parts Parts = Back->take(*this);
  WentBack = AnswerIsEvents = Counted = true;
  LastTrouble = Why;
  Upstream = std::move(Parts.Upstream);
  Connection = Parts.Connection;
  Answer = std::move(Parts.Answer);
  Events = std::move(Parts.Events);
  ModelPlace = Parts.ModelPlace;
  Model = Route->Sizes[ModelPlace];
  Confidence = Parts.Confidence;
  HeardAt = steadySeconds();
  if (Upstream)
    LastUpstream = Upstream;
  passOn(Back->events());
  if (Back->whole())
    return finish();
  if (Connection)
    return armTimer();
  Answer = {};
  Events.restart();
  again(true, Why);
}

// What the upstream will have to read, for the choices of this gateway and the
// others, and what it keeps then.
void forwarding::expectPrompt(const selection_request &Request,
                              double WaitingSeconds) {
  prompt_work Work = promptWork(State, *Routing, Request);
  if (Attempts == 1)
    State.Earnings[Service].earned(worthOf(size()), Work.WholeSeconds);
  PromptSeconds = readSeconds(State, *Routing, Request, Work, *Upstream);
  Upstream->PromptSeconds += PromptSeconds;
  ExpectedSeconds = FirstTokenSeconds + WaitingSeconds + PromptSeconds;
  Pieces = std::move(Work.Pieces);
  KeptTokens = State.Memory.kept(Upstream->Place, Pieces);
  State.Memory.sent(Upstream->Place, Pieces);
  State.Peers->sent(*Upstream, Pieces);
}

// Of the prompt of the attempt in hand, what the upstream was not known to
// keep.
std::span<const prompt_piece> forwarding::unkeptPieces() const {
  std::span<const prompt_piece> Rest = Pieces;
  for (uint32_t Tokens = 0; Tokens < KeptTokens; Rest = Rest.subspan(1))
    Tokens += Rest.front().Tokens;
  return Rest;
}

// The upstream has read the prompt of the attempt in hand, or will not.
void forwarding::promptRead() {
  if (PromptSeconds == 0)
    return;
  Upstream->PromptSeconds -= std::exchange(PromptSeconds, 0);
  State.Peers->changed(*Upstream);
}

} // namespace olivevalve
