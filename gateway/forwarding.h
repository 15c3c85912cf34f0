//===- forwarding.h - One request on its way --------------------*- C++ -*-===//
//
// Takes a request from its caller to an upstream and the answer back: chooses,
// sends again where that is allowed, goes on with a broken stream elsewhere,
// and gives every request one final answer in time.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_FORWARDING_H
#define OLIVEVALVE_GATEWAY_FORWARDING_H

#include "base/error.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway_state.h"
#include "gateway/selection.h"
#include "gateway/spare_answer.h"
#include "gateway/upstream_connection.h"
#include "net/caller_connection.h"
#include "policy/model_choice.h"
#include "quarantine/request_identity.h"
#include <set>
#include <span>

namespace olivevalve {

class forwarding;

enum class connection_kind : uint8_t {
  Any,
  New ///< Comes up only if the upstream lives.
};

/// Where requests are at home.
class forwarding_host {
public:
  virtual ~forwarding_host() = default;
  /// True: \p Request is held, and resumed when this gateway knows enough to
  /// choose an upstream.
  virtual bool holds(forwarding &Request) = 0;
  /// One that is idle, or a new one; null when none may be opened.
  virtual upstream_connection *
  acquire(const std::shared_ptr<upstream> &Upstream, connection_kind Kind) = 0;
};

class forwarding : public caller_user,
                   public upstream_user,
                   public std::enable_shared_from_this<forwarding> {
public:
  /// Told once, when the request has its final answer or none can be given.
  using end_handler = std::function<void(forwarding &)>;

  forwarding(gateway_state &State, forwarding_host &Host,
             caller_connection &Caller, http_head Head, std::string Body,
             end_handler OnOver);
  ~forwarding() override;

  void start();
  /// Waits for resume(), for \p Seconds at most and, before its first attempt,
  /// a part of the time that the caller has. Then it ends, told \p Why.
  void hold(double Seconds, std::string_view Why);
  void resume();
  /// This process stood still: timers may not have counted that time.
  void woke();
  /// Answers it without a try.
  void refuse(error_kind Kind, std::string_view Why) { giveUp(Kind, Why); }
  /// Ends it now: the process is about to stop.
  void cut();

  void onCallerGone() override;
  void onCallerDrained() override;
  void onAnswerHead(const http_head &Head,
                    const platform::answer_facts &Facts) override;
  void onAnswerBytes(std::string_view Bytes) override;
  void onAnswerEnd() override;
  void onBroken(broken_at Where) override;

private:
  bool authorise();
  const std::string &pickService();
  void attempt();
  void noteWarming(double Now);
  void concludeUnsent(const selection &Selected);
  double coldComeBack(double Seconds);
  double timeOfCaller() const;
  void expectPrompt(const selection_request &Request, double WaitingSeconds);
  void send(double Now);
  bool takeRepeat(std::string_view Why);
  void logRepeat();
  std::string_view hallKind() const;
  bool takenIn(const selection &Selected);
  double refusalChanceAt(double Seconds) const;
  void heardWishes(const platform::answer_facts &Wishes);
  void heardLoad(const platform::reported_load &Load);
  selection_request selectionAt(double Now) const;
  bool choosesModel() const;
  request_size size() const;
  uint32_t priority() const;
  bool asksLargerModel();
  void askLargerModel();
  void goBack(std::string_view Why);
  bool mayTryAgain(bool WasRun) const;
  void again(bool WasRun, std::string_view Why);
  void conclude(std::string_view Why,
                error_kind NotRun = error_kind::NoUpstream);
  void giveUp(error_kind Kind, std::string_view Why);
  void onTimer();
  double patience() const;
  double spareDueAt() const;
  void armTimer();
  void noteBreak();
  void noteSilence();
  void leaveUpstream();
  void promptRead();
  std::span<const prompt_piece> unkeptPieces() const;
  void passOn(std::string_view Bytes);
  head_line comeBackLine();
  void deliver();
  void finish();
  void over(std::string_view Outcome, int Status);
  void countAnswer(bool Failed);
  void touchSession();
  bool streaming() const {
    return Route && Route->Kind == route_kind::Streaming;
  }
  /// Seconds until both the caller's and the operator's time are over.
  double left(double Now) const { return EndsAt - Now; }

  gateway_state &State;
  forwarding_host &Host;
  caller_connection *Caller;
  http_head Head;
  std::string Body;
  end_handler OnOver;
  platform::caller_facts Facts;
  std::shared_ptr<const routing_table> Routing; ///< In force now.
  // As they were when it came.
  uint64_t RoutingVersion = 0;
  std::shared_ptr<const route_spec> Route;
  std::shared_ptr<const caller_account> Account;
  std::string Service;
  short_digest Identity{}; ///< The same for each try by its caller.

  double BegunAt;
  double EndsAt;
  timer Timer;
  uint32_t Attempts = 0; ///< Of those that the route allows: at upstreams that
                         ///< were the ones meant.
  uint32_t Arrivals = 0; ///< At whoever has an upstream's address.
  std::string_view RepeatWhy;  ///< Of the arrival beyond the first in hand.
  bool RepeatTaken = false;    ///< From the shared bound, for the next arrival.
  std::set<std::string> Tried; ///< Incarnations.
  std::shared_ptr<upstream> Upstream;
  std::shared_ptr<upstream> LastUpstream; ///< Of the last attempt.
  upstream_connection *Connection = nullptr;
  double Confidence = -1;   ///< Of the model in its answer, 0 to 1; -1: untold.
  size_t ModelPlace = 0;    ///< Of the model asked, in the route's sizes.
  size_t LargerPlace = 0;   ///< Of the model that is to be asked instead.
  std::string Model;        ///< Chosen by this gateway; empty: the caller's.
  double PromptSeconds = 0; ///< Of the upstream's time; 0 once it has read.
  std::vector<prompt_piece> Pieces; ///< Of the prompt, for the model asked.
  uint32_t KeptTokens = 0;          ///< Of them, expected at the upstream.
  double ExpectedSeconds = 0;       ///< From sending to the first token.
  double SentAt = 0;                ///< The attempt in hand.
  double HeadAt = 0;                ///< Of its answer.
  double FirstEventAt = 0;          ///< Of the answer; 0: none yet.
  double HeardAt = 0;               ///< Last bytes of the answer in hand.
  bool MayHaveRun = false;          ///< Some attempt did, or perhaps did.
  bool BrokenOff = false;           ///< By an upstream that may have ended.
  bool HeadSent = false;            ///< The caller has the head of its answer.
  bool AnswerIsEvents = false;
  bool WentBack = false;         ///< To the answer of a smaller model.
  bool Counted = false;          ///< The answer in hand, for its version.
  bool OtherIncarnation = false; ///< Declined by whoever has the address now.
  std::string_view HeldFor;      ///< Why it waits; empty: it does not.
  double ComeBackAfter = 0;      ///< Advice to a refused caller; 0: the usual.
  double WaitSeconds = 0;        ///< For a slot, expected at the last choice.
  bool Finished = false;
  held_answer Answer;                  ///< Of the last attempt.
  std::unique_ptr<spare_answer> Spare; ///< While a larger model is asked.
  event_splitter Events;
  uint64_t EventBytes = 0;
  std::string_view LastTrouble; ///< Why the last attempt failed.
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_FORWARDING_H
