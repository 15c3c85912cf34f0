//===- forwarding_model_switch.cpp - Selects the model for a request ------===//
//
// The part of class forwarding that switches a request to a larger model where
// that is worth its cost, falls back to the smaller model's response, and
// accounts for the work of prompts.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "base/log.h"
#include "gateway/forwarding.h"
#include "policy/model_choice.h"

namespace olivevalve {

namespace {

constexpr std::string_view AnyModel = "*";
constexpr std::string_view LargerModel = "larger model";

} // namespace

request_size forwarding::size() const {
  return {.InputTokens = Facts.Model->PromptTokens,
          .OutputTokens = expectedOutputTokens(*Facts.Model),
          .Priority = Route->Priority};
}

bool forwarding::choosesModel() const {
  return Facts.Model && Facts.Model->Model == AnyModel && !Route->Sizes.empty();
}

// Decides whether to switch to a larger model. The caller has received nothing
// of the response yet, so it can still be replaced.
bool forwarding::shouldSwitchModel() {
  // One attempt beside the larger model's, to resume the smaller one's
  // response.
  bool MayResume = Attempts + 1 < Route->MaxAttempts;
  if (!choosesModel() || HeadSent || FellBack || Confidence < 0 || !MayResume ||
      !mayRetry(true))
    return false;
  double Now = steadySeconds();
  size_t Largest = Route->Sizes.size() - 1;
  selection_request Request = selectionAt(Now);
  Request.ModelIndex = Largest;
  request_estimate Estimate = estimateRequest(State, *Routing, Request);
  processing_time_stats &LargestWork = State.ProcessingTimes[Service];
  LargestWork.add(Estimate.UpstreamSeconds);
  auto Larger = largerModel(
      {.ModelCount = Route->Sizes.size(),
       .ModelIndex = ModelIndex,
       .Confidence = Confidence,
       .Size = size(),
       .LargestCost = costPerThousandTokens(*Routing, *Route, Service, Largest),
       .LargestSeconds = Estimate.UpstreamSeconds,
       .OpportunityCostPerSecond = opportunityCostPerSecond(
           State.UtilityRates[Service].perSecond(), Estimate.BacklogSeconds,
           LargestWork.residualSeconds()),
       .RefusalProbability = State.Shares.refuses(Service, Now)
                                 ? 1
                                 : refusalChanceAt(Estimate.WaitSeconds),
       .InTime = Now + Estimate.FirstTokenSeconds <
                 ArrivedAt + Route->TargetSeconds});
  logLine(log_level::Debug, "larger model considered",
          {{"id", Facts.AttemptId},
           {"confidence", Confidence},
           {"prompt_tokens", int64_t(Facts.Model->PromptTokens)},
           {"backlog_s", Estimate.BacklogSeconds},
           {"work_s", LargestWork.residualSeconds()},
           {"slot_wait_s", Estimate.WaitSeconds},
           {"upstream_s", Estimate.UpstreamSeconds},
           {"earned_per_s", State.UtilityRates[Service].perSecond()},
           {"first_token_s", Estimate.FirstTokenSeconds},
           {"asked", int64_t(Larger.has_value())}});
  if (!Larger)
    return false;
  if (!takeRetryToken(LargerModel)) {
    recordRefusedRetry(LargerModel);
    return false;
  }
  LargerModelIndex = *Larger;
  return true;
}

// Switches to the larger model and keeps the response that has begun as the
// fallback until the caller receives one of the larger model. When it was
// dropped at once, it was lost if the larger model's upstream refused the
// request, and the caller was told that nothing had run.
void forwarding::switchToLargerModel() {
  auto Keep = shared_from_this();
  Upstream->recordResponse();
  countAnswer(false);
  logLine(log_level::Info, "switched to a larger model",
          {{"id", Facts.AttemptId},
           {"confidence", Confidence},
           {"upstream", Upstream->Listed.Id},
           {"asked", Model},
           {"asks", Route->Sizes[LargerModelIndex]},
           {"prompt_tokens", int64_t(Facts.Model->PromptTokens)},
           {"seconds_there", steadySeconds() - SentAt}});
  Fallback = std::make_unique<fallback_response>(
      State,
      fallback_response_parts{.Upstream = std::exchange(Upstream, nullptr),
                              .Connection = std::exchange(Connection, nullptr),
                              .Answer = std::exchange(Answer, {}),
                              .IsEvents = AnswerIsEvents,
                              .ModelIndex = ModelIndex,
                              .Confidence = Confidence,
                              .Causes = Causes,
                              .SentAt = SentAt,
                              .BegunAt = BegunAt});
  ModelIndex = LargerModelIndex;
  MayHaveRun = true;
  attempt();
}

// The larger model does not respond in time: the caller gets the fallback
// response, and the rest of it from the same connection or from another
// upstream.
void forwarding::fallBack(std::string_view Why) {
  auto Keep = shared_from_this();
  logLine(log_level::Info, "fell back to the smaller model's response",
          {{"id", Facts.AttemptId},
           {"why", Why},
           {"whole", int64_t(Fallback->isComplete())},
           {"bytes", int64_t(Fallback->body().size())},
           {"seconds", steadySeconds() - ArrivedAt}});
  std::unique_ptr<fallback_response> Kept = std::exchange(Fallback, nullptr);
  fallback_response_parts Parts = Kept->take(*this);
  // Without another attempt the response would break off after its beginning.
  bool Resumes = !Kept->isComplete() && !Parts.Connection;
  if (Resumes && !(mayRetry(true) && takeRetryToken(Why))) {
    recordRefusedRetry(Why);
    return giveUp(error_kind::OutcomeUnknown, Why);
  }
  FellBack = AnswerCounted = true;
  AnswerIsEvents = Parts.IsEvents;
  LastFailure = Why;
  Upstream = std::move(Parts.Upstream);
  Connection = Parts.Connection;
  Answer = std::move(Parts.Answer);
  ModelIndex = Parts.ModelIndex;
  BegunAt = Parts.BegunAt;
  Survived = false;
  Model = Route->Sizes[ModelIndex];
  Confidence = Parts.Confidence;
  LastReceivedAt = steadySeconds();
  if (Upstream)
    LastUpstream = Upstream;
  if (AnswerIsEvents)
    forwardEvents(Kept->body());
  else
    Answer.Body = std::move(Kept->body());
  if (Kept->isComplete())
    return finish();
  if (Connection)
    return armTimer();
  Answer = {};
  retryOrConclude(true, Why);
}

// Accounts for the prefill work of this attempt, which this gateway and the
// others consider when they select upstreams, and for the prompt blocks that
// the upstream will have cached.
void forwarding::recordPrompt(const selection_request &Request,
                              const selection &Selected) {
  prompt_work Work = promptWork(State, *Routing, Request);
  if (Attempts == 1)
    State.UtilityRates[Service].add(utilityOf(size()), Work.TotalSeconds);
  PrefillSeconds = prefillSeconds(State, *Routing, Request, Work, *Upstream);
  Upstream->PrefillSeconds += PrefillSeconds;
  double WorkSeconds = Selected.PrefillSeconds + PrefillSeconds;
  UsualFirstSeconds = FirstTokenOverheadSeconds + WorkSeconds;
  PacedFirstSeconds =
      FirstTokenOverheadSeconds + WorkSeconds * Selected.TimeFactor;
  ExpectedSeconds =
      PacedFirstSeconds *
      State.Paces.expectedRatio(Service, paced_work::FirstToken,
                                modelAt(*Route, Facts, Request.ModelIndex));
  Blocks = std::move(Work.Blocks);
  CachedTokens = State.PrefixCaches.cachedTokens(Upstream->Key, Blocks);
  State.PrefixCaches.addPrompt(Upstream->Key, Blocks);
  State.Peers->reportPrompt(*Upstream, Blocks);
  PrefixReuse = Selected.Reuse ? nameOf(*Selected.Reuse) : std::string_view();
  if (!Selected.Reuse)
    return;
  State.Metrics->count("shared_prefixes", PrefixReuse);
  State.PrefixRates.record(sharedPrefixKey(Blocks), Request.Now);
}

// Blocks of the current attempt's prompt that the upstream was not expected to
// have cached.
std::span<const prompt_block> forwarding::uncachedBlocks() const {
  std::span<const prompt_block> Rest = Blocks;
  for (uint32_t Tokens = 0; Tokens < CachedTokens; Rest = Rest.subspan(1))
    Tokens += Rest.front().Tokens;
  return Rest;
}

// The upstream has done the prefill of the current attempt, or will not do it.
void forwarding::releasePrompt() {
  if (PrefillSeconds == 0)
    return;
  Upstream->PrefillSeconds -= std::exchange(PrefillSeconds, 0);
  State.Peers->reportChange(*Upstream);
}

} // namespace olivevalve
