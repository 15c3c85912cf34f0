//===- request_choice.cpp - Choice of the version for a request -----------===//
//
// The part of request_task that collects the candidate versions, has policy
// choose among them, and keeps a session on its version.
//
//===----------------------------------------------------------------------===//

#include "entry/request_task.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Assumptions for the cost of versions that have not been used yet: the tokens
// of an answer, and 4 bytes for each token of a prompt.
constexpr double TypicalOutputTokens = 300;
constexpr double BytesPerToken = 4;

} // namespace

upstream_need request_task::need(const version_name &Wanted) const {
  return {.Version = Wanted,
          .Service = Facts.Service,
          .PrefixHash = Facts.Chat.PrefixHash,
          .Excluded = Tried};
}

bool request_task::versionUsable(const version_name &Name, bool Pinned) const {
  const version_spec *Spec = Context.Control.config().version(Name);
  bool Paused = Spec && Spec->State == version_state::Paused;
  return Spec && takesNewWork(Spec->State) && (Pinned || !Paused) &&
         !Withdrawn.contains(Name);
}

bool request_task::isStopped(const version_name &Name) const {
  const version_spec *Spec = Context.Control.config().version(Name);
  return Spec && Spec->StoppedFor.covers(Facts.Template, Facts.Account);
}

double request_task::priorCost(const version_spec &Spec) const {
  double Input = double(Facts.Chat.PromptBytes) / BytesPerToken;
  return (Input * Spec.InputPrice + TypicalOutputTokens * Spec.OutputPrice) *
         1e-6;
}

// Versions that the guard has stopped for this template or client account are
// used only if there is no other, because a poor answer is better than none.
// They still come before upstreams whose breaker is open, which failed only a
// moment ago.
std::vector<version_candidate> request_task::candidates() const {
  for (breaker_policy Breakers :
       {breaker_policy::ClosedOnly, breaker_policy::IncludeOpen})
    for (bool WithStopped : {false, true}) {
      std::vector<version_candidate> List = candidates(WithStopped, Breakers);
      if (!List.empty())
        return List;
    }
  return {};
}

std::vector<version_candidate>
request_task::candidates(bool WithStopped, breaker_policy Breakers) const {
  const catalog &Config = Context.Control.config();
  std::vector<version_candidate> List;
  for (const version_name &Name : Facts.Candidates) {
    if (!versionUsable(Name, false) ||
        !Context.Pool.canServe(need(Name), Config, Breakers))
      continue;
    const version_spec &Spec = *Config.version(Name);
    bool Stopped = Spec.StoppedFor.covers(Facts.Template, Facts.Account);
    if (Stopped && !WithStopped)
      continue;
    version_candidate Candidate{.Name = Name, .PriorCost = priorCost(Spec)};
    Candidate.Rolling = Spec.State == version_state::Rolling;
    auto Allowance = Context.Allowances.find(Name);
    if (Allowance != Context.Allowances.end())
      Candidate.Allowance =
          Allowance->second - Context.Rater.unconfirmedExposures(Name);
    List.push_back(std::move(Candidate));
  }
  return List;
}

std::optional<chosen_arm> request_task::choose(bool MayCascade) {
  choice_input Question{.Template = Facts.Template,
                        .Account = Facts.Account,
                        .QualityTarget = Facts.QualityTarget,
                        .Policy = Facts.Policy,
                        .Candidates = candidates(),
                        .MayCascade = MayCascade};
  return chooseArm(Question, Context.Estimates, Context.Prepared,
                   Context.Random);
}

// Called when a sidecar has learned of a version's withdrawal before this
// entry. Returns false if there is no other version.
bool request_task::chooseAnother() {
  Withdrawn.insert(Version);
  if (candidates().empty())
    return false;
  Stage = stage::Choosing;
  if (Facts.Session.empty())
    chooseUnpinned();
  else
    choosePinned();
  return true;
}

void request_task::chooseUnpinned() {
  bool MayCascade = !Facts.Chat.Stream && !claimed() &&
                    Context.Rater.enabled() && Facts.Session.empty();
  auto Choice = choose(MayCascade);
  if (!Choice)
    return refuse(error_kind::NoUpstream,
                  "no allowed version has an upstream that accepts requests");
  Arm = Choice->Arm;
  run(Arm.First);
}

// A cached pin is used without a request to control. If its version has been
// withdrawn or stopped, a new pin is proposed; control makes sure that all
// entries use the same one.
void request_task::choosePinned() {
  session_key Key{Facts.Account, Facts.Session, Facts.Template};
  auto Cached = Context.Sessions.cachedPin(Key);
  if (Cached && versionUsable(*Cached, true) && !isStopped(*Cached)) {
    Arm = {*Cached, {}};
    return run(*Cached);
  }
  auto Choice = choose(false);
  if (!Choice)
    return refuse(error_kind::NoUpstream,
                  "no allowed version has an upstream that accepts requests");
  pin(Choice->Arm.First, Cached);
}

void request_task::pin(const version_name &Wanted,
                       const std::optional<version_name> &Replaces) {
  session_key Key{Facts.Account, Facts.Session, Facts.Template};
  auto Self = shared_from_this();
  ++PinAttempts;
  Context.Sessions.pin(
      Key, Wanted, Replaces,
      [this, Self, Wanted](std::optional<version_name> Committed) {
        if (Stage != stage::Choosing)
          return;
        if (!Committed)
          return refuse(error_kind::NoLease,
                        "control did not respond to the request for the "
                        "session's version");
        bool Unusable = !versionUsable(*Committed, true) ||
                        (isStopped(*Committed) && *Committed != Wanted);
        if (Unusable && PinAttempts < 4)
          return pin(Wanted, Committed);
        Arm = {*Committed, {}};
        run(*Committed);
      });
}

void request_task::run(const version_name &Wanted) {
  Version = Wanted;
  Tried.clear();
  sendAttempt();
}

} // namespace olivevalve
