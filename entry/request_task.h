//===- request_task.h - Processing of one caller request --------*- C++ -*-===//
//
// A request_task pins the request's session, chooses a version and an upstream,
// claims the Idempotency-Key of a request that may run only once, sends
// attempts to sidecars, passes the response on to the caller, and bills it once
// the caller has received it completely. An error response says "not run" only
// if that is certain.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_REQUEST_TASK_H
#define OLIVEVALVE_ENTRY_REQUEST_TASK_H

#include "base/error.h"
#include "base/metrics.h"
#include "entry/answer_text.h"
#include "entry/chat_request.h"
#include "entry/rater.h"
#include "entry/sessions.h"
#include "entry/upstream_pool.h"
#include "lease/bill_outbox.h"
#include "net/http_server.h"
#include "policy/limits.h"
#include "policy/version_choice.h"
#include "quarantine/crash_reports.h"
#include "quarantine/request_causes.h"
#include "wire/attempt_key.h"
#include <memory>
#include <set>

namespace olivevalve {

/// State that all requests of an entry share.
struct entry_context {
  uint64_t Incarnation = 0;
  control_client &Control;
  upstream_pool &Pool;
  rater &Rater;
  sessions &Sessions;
  bill_outbox &Outbox;
  metrics &Metrics;
  estimates &Estimates;
  choice_cache &Prepared;
  /// Answers that versions in a roll-out may still give here.
  std::map<version_name, double> &Allowances;
  retry_budget &Retries;
  std::mt19937_64 &Random;
  crash_reports &Crashes;
};

/// What the entry has found out about a request before its task begins.
struct request_facts {
  uint64_t Number = 0; ///< Unique within this incarnation of the entry.
  std::string Id;      ///< Sent to the caller as X-Request-Id.
  std::string Account; ///< The client account.
  std::string Method;
  std::string Path;
  std::string ContentType;
  /// Sent to plain services. Of a chat request it is kept only for the hash of
  /// a request with an Idempotency-Key; the upstream gets Chat.
  std::string Body;
  std::string Service; ///< The plain service; empty: a chat request.
  chat_request Chat;
  std::string Template; ///< Template, model or version, as the caller wrote it.
  /// Versions that may answer and that the client account may use.
  std::vector<version_name> Candidates;
  version_policy Policy;
  double QualityTarget = 0.8; ///< Expected rating, 0 to 1.
  uint32_t Priority = 1;      ///< 0 is the most urgent.
  std::string Session;        ///< Empty: no session.
  request_causes Causes;      ///< What crashes under it are blamed on.
  /// Idempotency-Key; empty: the request may run more than once.
  std::string Key;
  double Arrived = 0;  ///< By steadySeconds().
  double Deadline = 0; ///< By steadySeconds(); below 0: the header is invalid.
  bool isChat() const { return Service.empty(); }
};

/// How long an entry tries to find out what became of a claimed attempt.
constexpr double ResolveTimeoutSeconds = 6;
/// Interval between the queries during that time.
constexpr double ResolveIntervalSeconds = 0.3;

/// One request, from its arrival to the end of its response.
class request_task : public std::enable_shared_from_this<request_task> {
public:
  request_task(entry_context &Context, std::shared_ptr<http_exchange> Exchange,
               request_facts Facts);

  void begin();
  /// Takes a message about an attempt of this request, or the reply to a query
  /// about the attempt that holds its claim.
  void onMessage(const std::string &Upstream, const wire::envelope &Message);
  /// The upstream's sidecar restarted, disconnected or does not respond.
  void onLost(const std::string &Upstream);
  void onCallerGone();
  void tick(double Now);
  bool over() const { return Stage == stage::Over; }
  /// True if \p Other is the current attempt.
  bool owns(const wire::attempt_id &Other) const {
    return keyOf(Other) == keyOf(Id);
  }
  const request_facts &facts() const { return Facts; }
  /// The attempt that holds this request's claim, while its sidecar is being
  /// queried about it. It may belong to another request, of any entry.
  std::optional<attempt_key> queriedAttempt() const;

private:
  enum class stage : uint8_t {
    Choosing,  ///< Choosing a version or waiting for the session's pin.
    Claiming,  ///< Waiting for control's decision on the claim.
    Resolving, ///< Finding out what became of an earlier attempt.
    Sent,      ///< An attempt is at a sidecar.
    Rating,    ///< Waiting for the rating of a cascade's first answer.
    Answered,  ///< The response is written but may not be received completely.
    Over
  };

  std::vector<version_candidate> candidates() const;
  std::vector<version_candidate> candidates(bool WithStopped,
                                            breaker_policy Breakers) const;
  bool versionUsable(const version_name &Name, bool Pinned) const;
  /// True if the roll-out guard has stopped the version for this request's
  /// template or client account.
  bool isStopped(const version_name &Name) const;
  upstream_need need(const version_name &Version) const;
  double priorCost(const version_spec &Spec) const;
  std::optional<chosen_arm> choose(bool MayCascade);
  bool chooseAnother();
  void chooseUnpinned();
  void choosePinned();
  void pin(const version_name &Wanted,
           const std::optional<version_name> &Replaces);
  void run(const version_name &Version);

  /// Sends an attempt to \p Chosen; empty: to an upstream that is chosen here.
  void sendAttempt(const std::string &Chosen = {});
  wire::envelope makeAttempt() const;
  void claim();
  void onClaimed(const wire::claim_result &Result);
  void onClaimLost(const wire::claim_result &Result);
  void resolve(double Now);
  void onResolved(wire::cancel_result::cancel_progress Progress);
  void sendClaimFinish(wire::finish Finish);
  void releaseClaim();
  void abandonClaim();
  void onHolderRestarted();
  void sendNothingDue();
  void pollOutcome();
  void dispatch();

  void onAccepted(const wire::accepted &Accepted);
  void resendMoved();
  void onRefused(const wire::refused &Refused);
  void onHead(const wire::head &Head);
  void onFrame(const wire::frame &Frame);
  void onEnd(const wire::end &End);
  void onCancelResult(const wire::cancel_result &Result);
  void attemptFailed(error_kind Kind, const std::string &Message);
  void retry(error_kind Kind, const std::string &Message, bool UsesBudget);
  void endAttempt();
  void cancelAttempt(bool OnlyIfNotStarted);
  void onDeadline();

  void onAnswerComplete(const wire::usage &Usage);
  void rateFirstAnswer();
  void deliver();
  void onDelivered();
  /// Records \p Value for the client account and for the priority class.
  void record(measure Measure, double Value) const;
  std::vector<header_field> headers() const;
  /// The error to report: weakened to one with an unknown outcome if \p Kind
  /// says "not run" but an earlier attempt may have run.
  error_kind kindToReport(error_kind Kind) const;
  void refuse(error_kind Kind, const std::string &Message);
  void finishTask();
  rated_answer ratedAnswer(const version_name &Version) const;
  /// Like ratedAnswer(), with question and answer for the rating service and
  /// a cost of \p Micros millionths of a price unit.
  rated_answer answerToRate(uint64_t Micros) const;
  bool claimed() const { return !Facts.Key.empty(); }

  entry_context &Context;
  std::shared_ptr<http_exchange> Exchange;
  request_facts Facts;
  stage Stage = stage::Choosing;

  arm Arm;
  bool Escalated = false; ///< The cascade has gone on to its second version.
  version_name Version;   ///< In use now; Model is empty for a plain service.
  std::string Upstream;
  /// Of the sidecar that the attempt is meant for.
  uint64_t SidecarIncarnation = 0;
  std::set<std::string> Tried; ///< Upstreams not to be chosen again.
  wire::attempt_id Id;
  uint32_t AttemptCount = 0;
  std::set<version_name> Withdrawn; ///< Reported as withdrawn by a sidecar.
  int PinAttempts = 0;
  bool OnTrial = false;    ///< Sent in spite of the quarantine of a cause.
  bool InFlight = false;   ///< The pool counts the attempt as in flight.
  bool MayHaveRun = false; ///< An earlier attempt may have started.
  bool Accepted = false;
  /// How often the request was moved to another upstream before it started.
  int MoveCount = 0;
  /// Upstream to move to once the sidecar has cancelled the attempt; empty: no
  /// move has been requested.
  std::string MoveTarget;
  bool IsMove = false; ///< The attempt being sent is a move.
  double SentAt = 0;
  double FirstFrameAt = 0;
  double LastFrameAt = 0;
  uint32_t NextSequence = 0;
  int Status = 0;
  std::string ContentType;
  bool Streaming = false; ///< A streamed response to the caller has begun.
  std::string Answer;     ///< Complete body of a response that is not streamed.
  answer_text StreamedText; ///< Text of a streamed response, for the rating.
  std::string FirstAnswer;  ///< Answer of a cascade's first version.
  wire::bill Bill;
  uint64_t CostMicros = 0;

  std::string ClaimValue; ///< This request's claim at control; empty: none.
  /// The attempt that holds the claim and is being resolved.
  wire::claim_value Holder;
  std::string HolderValue;
  double ResolveUntil = 0;
  double NextResolveAt = 0;
  bool PollPending = false;
  /// Control has been polled while resolving and holds no outcome.
  bool OutcomePolled = false;
  bool DeadlineCancelSent = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_REQUEST_TASK_H
