//===- forwarding.h - Forwards one request to an upstream -------*- C++ -*-===//
//
// Forwards a caller's request to an upstream and the response back to the
// caller: selects the upstream, retries where the route allows it, resumes an
// interrupted stream at another upstream, and ends every request with one final
// response before its deadline.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_FORWARDING_H
#define OLIVEVALVE_GATEWAY_FORWARDING_H

#include "base/error.h"
#include "gateway/fallback_response.h"
#include "gateway/gateway_state.h"
#include "gateway/selection.h"
#include "gateway/upstream_connection.h"
#include "net/caller_connection.h"
#include "policy/model_choice.h"
#include "quarantine/request_causes.h"
#include <set>
#include <span>

namespace olivevalve {

class forwarding;

/// Which connection to an upstream a request may use.
enum class connection_kind : uint8_t {
  /// An idle keep-alive connection, or a new one.
  Any,
  /// A new connection, which is established only if the upstream is alive. An
  /// idle one is used all the same once the connection limit is reached.
  New
};

/// The gateway that owns the requests.
class forwarding_host {
public:
  virtual ~forwarding_host() = default;
  /// Parks \p Request if this gateway does not have current routing and
  /// upstream data, and resumes it later. False: the request can go on at once.
  virtual bool parkUntilReady(forwarding &Request) = 0;
  /// Parks \p Request, which needs a token of the shared retry bound, and calls
  /// its retryWithToken() when this gateway may have been lent some.
  virtual void parkUntilRetryToken(forwarding &Request, double Seconds) = 0;
  /// Returns an idle keep-alive connection or opens a new one; null if the
  /// connection limit is reached.
  virtual upstream_connection *
  acquire(const std::shared_ptr<upstream> &Upstream, connection_kind Kind) = 0;
};

/// One request, from its arrival to its final response.
class forwarding : public response_producer,
                   public upstream_user,
                   public std::enable_shared_from_this<forwarding> {
public:
  /// Called once, after the request has its final response or none can be
  /// given.
  using completion_handler = std::function<void(forwarding &)>;

  forwarding(gateway_state &State, forwarding_host &Host,
             caller_connection &Caller, http_head Head, std::string Body,
             completion_handler OnFinished);
  ~forwarding() override;

  /// Routes and authorises the request and makes the first attempt.
  void start();
  /// Waits for resume(), at most \p Seconds and at most a fraction of the
  /// caller's deadline; after the first attempt, at most until the deadline.
  /// Then the request ends with the error text \p Why.
  void park(double Seconds, std::string_view Why);
  /// Continues a parked request.
  void resume();
  /// Retries a request that waits for a retry token, if there is one now.
  /// False: it goes on waiting.
  bool retryWithToken();
  /// Called after this process was suspended: restarts the timer, which may not
  /// have counted the time of the suspension.
  void resumedAfterPause();
  /// Counts the response in progress for its software version.
  void countInProgress();
  /// Responds with an error without making an attempt.
  void refuse(error_kind Kind, std::string_view Why) { giveUp(Kind, Why); }
  /// Bytes of its response that are held in memory.
  size_t heldResponseBytes() const { return HeldBytes; }
  /// The response states its length, so it does end.
  bool hasBoundedResponse() const { return Framing == body_framing::Length; }
  /// Gives up the response, of which too much is held in memory.
  void dropResponse(std::string_view Why);
  /// Ends the request at once because the process is about to stop; the
  /// caller's connection is closed.
  void abort();

  void onCallerGone() override;
  void onCallerDrained() override;
  size_t heldBytes() const override;
  void onAnswerHead(const http_head &Head, const platform::answer_facts &Facts,
                    body_content Content) override;
  void onAnswerBytes(std::string_view Bytes, size_t Received) override;
  void onAnswerEnd() override;
  void onBroken(broken_at Where) override;

private:
  bool authorise();
  request_causes findCauses() const;
  const std::string &pickService();
  void attempt();
  void recordForPacing(const send_permit &Permit, double Now);
  void concludeNotSent(const selection &Selected);
  double retryAfterReopening(const reopening &Reopening);
  double callerSecondsLeft() const;
  void recordPrompt(const selection_request &Request,
                    const selection &Selected);
  void send(double Now);
  bool takeRetryToken(std::string_view Why);
  void waitForRetryToken();
  void endRetryWait();
  void recordRefusedRetry(std::string_view Why);
  void logRetry();
  void settle();
  std::string_view hallLabel() const;
  bool withinShare(const selection_request &Request);
  bool admit(const selection &Selected);
  double refusalChanceAt(double Seconds) const;
  void applyUpstreamHints(const platform::answer_facts &Hints);
  void applyBackoff(const platform::answer_facts &Hints, double Now);
  void applyRequestLimit(const platform::answer_facts &Hints, double Now);
  void recordUnreadHeader(const std::string &Name);
  void recordUnknownLoad(const std::string &Value);
  void recordLoadReport(const platform::reported_load &Load);
  selection_request selectionAt(double Now) const;
  bool choosesModel() const;
  /// As in selection_request.
  size_t modelIndex() const {
    return choosesModel() ? ModelIndex : Route->Sizes.size();
  }
  request_size size() const;
  uint32_t priority() const;
  bool shouldSwitchModel();
  void switchToLargerModel();
  void fallBack(std::string_view Why);
  bool mayRetry(bool WasRun) const;
  void retryOrConclude(bool WasRun, std::string_view Why);
  void conclude(std::string_view Why,
                error_kind NotRun = error_kind::NoUpstream);
  void giveUp(error_kind Kind, std::string_view Why);
  void onTimer();
  double silenceTimeout() const;
  double fallbackDueAt() const;
  void armTimer();
  /// \p WasAlive: the upstream was alive when the request was sent.
  void recordInterruption(bool WasAlive = true);
  void recordSurvival();
  void recordCompletion();
  void recordSilence();
  void leaveUpstream();
  void releasePrompt();
  std::span<const prompt_block> uncachedBlocks() const;
  void forwardEvents(std::string_view Bytes);
  header_field retryAfterLine();
  void deliver();
  void finish();
  void complete(std::string_view Outcome, int Status);
  void recordHeldBytes(size_t Bytes);
  void countAnswer(bool Failed);
  uint64_t paceClass() const;
  void countPace();
  void countRun(double BeganAt);
  void touchSession();
  bool streaming() const {
    return Route && Route->Kind == route_kind::Streaming;
  }
  /// Seconds until the deadline, the earlier of the caller's and the route's.
  double secondsLeft(double Now) const { return EndsAt - Now; }

  gateway_state &State;
  forwarding_host &Host;
  caller_connection *Caller;
  http_head Head;
  /// Shared with the connections of its attempts.
  std::shared_ptr<const std::string> Body;
  completion_handler OnFinished;
  platform::caller_facts Facts;
  /// In force now, updated in place.
  std::shared_ptr<const routing_table> Routing;
  // Values from the arrival of the request.
  uint64_t RoutingVersion = 0;
  std::shared_ptr<const route_spec> Route;
  std::shared_ptr<const caller_account> Account;
  std::string Service;
  request_causes Causes; ///< What crashes under this request are blamed on.

  /// Arrival, seconds of the steady clock.
  double ArrivedAt;
  /// Deadline, seconds of the steady clock.
  double EndsAt;
  timer Timer;
  /// Attempts that count against the route's limit: those that were received by
  /// the incarnation that they were meant for, or may have been.
  uint32_t Attempts = 0;
  /// Times that the request was sent to an upstream's address, whichever
  /// incarnation had it.
  uint32_t SendCount = 0;
  /// The request is parked until a token is lent.
  bool AwaitsRetryToken = false;
  /// Reason of the latest retry, for logs and metrics.
  std::string_view RetryReason;
  /// May be sent in spite of the quarantine of one of its causes: until an
  /// upstream may have run it.
  bool OnTrial = false;
  /// The caller has its response or the beginning of it.
  bool Settled = false;
  /// A token of the shared retry bound is held for the next send.
  bool RetryTokenHeld = false;
  std::set<std::string> Tried; ///< Ids of incarnations that were tried.
  /// Upstream of the current attempt; null between attempts.
  std::shared_ptr<upstream> Upstream;
  std::shared_ptr<upstream> LastUpstream; ///< Of the last attempt.
  /// Connection of the current attempt; null: none.
  upstream_connection *Connection = nullptr;
  /// Reported by the model with its response, 0 to 1; -1: not reported.
  double Confidence = -1;
  size_t ModelIndex = 0; ///< Index in route_spec::Sizes of the model in use.
  /// Index in route_spec::Sizes of the larger model to switch to.
  size_t LargerModelIndex = 0;
  /// Chosen by this gateway; empty: the model that the caller named.
  std::string Model;
  /// Upstream seconds for the prefill of this prompt; 0 once it is done.
  double PrefillSeconds = 0;
  /// Blocks of the prompt, keyed for the model in use.
  std::vector<prompt_block> Blocks;
  /// Prompt tokens expected to be cached at the upstream.
  uint32_t CachedTokens = 0;
  /// How the shared prefix was found there; empty: the prompt has none.
  std::string_view PrefixReuse;
  /// Predicted upstream seconds that count for the account's share.
  std::optional<double> ShareSeconds;
  double ExpectedSeconds = 0; ///< From sending to the first token.
  /// The same at an upstream of usual speed.
  double UsualFirstSeconds = 0;
  /// The same at this upstream, before any correction.
  double PacedFirstSeconds = 0;
  double SentAt = 0;         ///< When the current attempt was sent.
  double HeadReceivedAt = 0; ///< When its response head was received.
  /// When the current response began. It has a value of its own, as a response
  /// that is kept during a model switch began before the other one.
  double BegunAt = 0;
  /// The current response has survived its beginning, see SurvivalSeconds.
  bool Survived = false;
  /// When the first event of the response was received; 0: none yet.
  double FirstEventAt = 0;
  /// The same, seconds from when its request was sent; -1: none yet.
  double FirstEventSeconds = -1;
  /// When the current response last received bytes, or the request was sent.
  double LastReceivedAt = 0;
  size_t HeldBytes = 0;    ///< Counted in gateway_state::HeldResponseBytes.
  bool MayHaveRun = false; ///< An attempt has run at an upstream, or may have.
  /// An upstream left an attempt without a complete response and may have
  /// crashed.
  bool Interrupted = false;
  bool HeadSent = false; ///< The caller has received the head of the response.
  bool AnswerIsEvents = false;
  /// The fallback response of the smaller model is in use.
  bool FellBack = false;
  /// The current response was counted for its software version.
  bool AnswerCounted = false;
  /// The same, as failed or by its pace.
  bool Judged = false;
  response_timing Timing; ///< Of the current attempt.
  /// The request was counted as usage: once, when the first upstream began to
  /// run it.
  bool RunCounted = false;
  /// The address now belongs to another incarnation, which declined.
  bool OtherIncarnation = false;
  /// Why the request is parked; empty: it is not.
  std::string_view ParkedReason;
  /// For a refused caller, seconds; 0: the default.
  double RetryAfterSeconds = 0;
  double WaitSeconds = 0; ///< Expected wait for a slot at the last selection.
  bool Finished = false;
  buffered_response Answer; ///< Of the last attempt.
  /// Smaller model's response while a larger one is tried.
  std::unique_ptr<fallback_response> Fallback;
  /// Id of the last event sent to the caller that has one.
  std::string LastEventId;
  /// How the latest response was framed, and how many of its bytes belong to an
  /// event that had not ended when it did; for logs.
  body_framing Framing = body_framing::None;
  size_t UnfinishedEventBytes = 0;
  /// Bytes of events sent to the caller, and those sent at first.
  uint64_t EventBytes = 0;
  uint64_t FirstEventBytes = 0;
  /// Why the last attempt failed; empty: none did.
  std::string_view LastFailure;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_FORWARDING_H
