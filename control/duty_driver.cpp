//===- duty_driver.cpp - Calls of the leader to the platform --------------===//

#include "control/duty_driver.h"
#include "base/clock.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Within this time after an election all gateways have polled the new leader
// and told it what they have counted.
constexpr double AllReportedSeconds = 2;
// Delay after a call that the platform did not accept; it doubles with each
// further one.
constexpr double MinRetrySeconds = 0.25;
constexpr double MaxRetrySeconds = 2;

} // namespace

duty_driver::duty_driver(struct ev_loop *Loop, metrics &Metrics,
                         duty_options NewOptions, replicated_log &Log)
    : Metrics(Metrics), Options(std::move(NewOptions)), Log(Log),
      Holder(Options.LeaseSeconds), Client(Loop, Options.PlatformAddress),
      RetryDelay(MinRetrySeconds) {
  for (const std::string &Name : Options.Names)
    if (Name != platform::UsageDuty)
      logLine(log_level::Warning,
              "the platform expects a duty that is not supported",
              {{"duty", Name}});
}

leadership duty_driver::leadershipAt(double Now) const {
  return {.HasLease = Log.hasLeaderLease(Now), .Term = Log.core().term()};
}

void duty_driver::recordWatch(const wire::watch &Watch, double Now) {
  if (!Watch.has_usage())
    return;
  Clock.record(Watch.incarnation(), Watch.usage().wall_seconds(), Now);
  if (!Log.core().isLeader())
    return;
  beginTerm(Now);
  Recorded[Watch.incarnation()] =
      Collector.record(Watch.incarnation(), Watch.node(), Watch.usage(), Term,
                       Log.state().duties().nextWindow(), Now);
}

void duty_driver::fillStatus(uint64_t Incarnation, double Now,
                             wire::notice &Notice) {
  auto It = Recorded.find(Incarnation);
  leadership Leadership = leadershipAt(Now);
  if (!reportsUsage() || !Leadership.HasLease || Leadership.Term != Term ||
      It == Recorded.end())
    return;
  wire::usage_status *Status = Notice.mutable_usage();
  Status->set_wall_seconds(Clock.wallSeconds(wallSeconds(), Now));
  Status->set_next_window(Log.state().duties().nextWindow());
  Status->set_term(Term);
  Status->set_recorded(It->second);
}

// Drops what was recorded under an earlier leadership.
void duty_driver::beginTerm(double Now) {
  if (Log.core().term() == Term)
    return;
  Term = Log.core().term();
  TermBeganAt = Now;
  Collector.reset();
  Recorded.clear();
  Answered.clear();
  FixPending = false;
  RetryDelay = MinRetrySeconds;
  RetryAt = 0;
}

void duty_driver::tick(double Now) {
  if (!reportsUsage())
    return;
  leadership Leadership = leadershipAt(Now);
  if (!Leadership.HasLease) {
    Client.cancel();
    return updateMetrics();
  }
  beginTerm(Now);
  if (Holder.shouldClaim(Leadership, Now))
    claim(Leadership.Term);
  fixReports(Now);
  sendReports(Now);
  updateMetrics();
}

void duty_driver::claim(uint64_t ClaimTerm) {
  wire::command Command;
  wire::duty_claim *Claim = Command.mutable_duty_claim();
  Claim->set_control_vm(Log.core().id());
  Claim->set_node(Options.Node);
  double Now = steadySeconds();
  Claim->set_first_window(
      Options.Usage.windowAt(Clock.wallSeconds(wallSeconds(), Now)));
  bool Leads = Log.propose(
      std::move(Command), [this, ClaimTerm](const apply_result *Result) {
        double Now = steadySeconds();
        const duty_store &Duties = Log.state().duties();
        if (!Result || Log.core().term() != ClaimTerm ||
            Duties.controlVm() != Log.core().id())
          return Holder.claimFailed();
        Holder.claimed(Duties.token(), Now);
        logLine(log_level::Info, "this VM holds the duties",
                {{"token", int64_t(Duties.token())},
                 {"term", int64_t(ClaimTerm)},
                 {"calls_from_s", Options.LeaseSeconds}});
      });
  if (!Leads)
    Holder.claimFailed();
}

void duty_driver::fixReports(double Now) {
  uint64_t Next = Log.state().duties().nextWindow();
  Collector.forget(Next, Now);
  if (Next == 0 || FixPending || Now < TermBeganAt + AllReportedSeconds)
    return;
  double Wall = Clock.wallSeconds(wallSeconds(), Now);
  bool Complete = Collector.complete(Next);
  auto Window = Options.Usage.windowToFix(Next, Complete,
                                          duty_store::MaxPendingReports, Wall);
  if (!Window)
    return;
  if (*Window > Next)
    logLine(log_level::Error, "usage of windows cannot be reported any more",
            {{"first", int64_t(Next)}, {"windows", int64_t(*Window - Next)}});
  wire::command Command;
  *Command.mutable_usage_window() = Collector.total(*Window);
  uint64_t Requests = 0;
  for (const wire::account_count &Count : Command.usage_window().counts())
    Requests += Count.requests();
  logLine(Complete ? log_level::Info : log_level::Warning,
          "report of usage summed up",
          {{"window", int64_t(*Window)},
           {"accounts", int64_t(Command.usage_window().counts_size())},
           {"requests", int64_t(Requests)},
           {"gateways", int64_t(Collector.reporters())},
           {"all_reported", int64_t(Complete)},
           {"since_end_s", Wall - Options.Usage.endOf(*Window)}});
  FixPending = Log.propose(
      std::move(Command), [this](const apply_result *) { FixPending = false; });
}

void duty_driver::sendReports(double Now) {
  const duty_store &Duties = Log.state().duties();
  auto Token = Holder.token(leadershipAt(Now), Duties.token(), Now);
  if (!Token || Client.isCalling() || Now < RetryAt)
    return;
  std::map<uint64_t, wire::usage_window> Reports = Duties.pending();
  for (uint64_t Window : Answered)
    Reports.erase(Window);
  const wire::usage_window *Report = Options.Usage.reportToSend(
      Reports, Clock.wallSeconds(wallSeconds(), Now));
  if (!Report)
    return;
  auto MaySend = [this, Token = *Token] {
    double Now = steadySeconds();
    return Holder.token(leadershipAt(Now), Log.state().duties().token(), Now) ==
           Token;
  };
  Client.sendUsage({.Node = Options.Node, .Token = *Token}, *Report, MaySend,
                   [this, Report = *Report,
                    Token = *Token](platform::duty_reply Reply, int Status) {
                     onReply(Report, Token, Reply, Status);
                   });
}

void duty_driver::onReply(const wire::usage_window &Report, uint64_t Token,
                          platform::duty_reply Reply, int Status) {
  using platform::duty_reply;
  double Now = steadySeconds();
  Metrics.count("usage_reports", platform::nameOf(Reply));
  double Wall = Clock.wallSeconds(wallSeconds(), Now);
  logLine(Reply == duty_reply::Accepted ? log_level::Info : log_level::Warning,
          "usage reported to the platform",
          {{"window", int64_t(Report.window())},
           {"token", int64_t(Token)},
           {"reply", platform::nameOf(Reply)},
           {"status", int64_t(Status)},
           {"since_end_s", Wall - Options.Usage.endOf(Report.window())}});
  if (Reply == duty_reply::Superseded)
    return Holder.refused(Token, Now);
  if (Reply == duty_reply::Accepted || Reply == duty_reply::Rejected) {
    RetryDelay = MinRetrySeconds;
    return finish(Report.window(), Reply == duty_reply::Accepted);
  }
  RetryAt = Now + RetryDelay;
  RetryDelay = std::min(2 * RetryDelay, MaxRetrySeconds);
}

// Until the result is committed, another leader sends the same report again,
// which the platform ignores.
void duty_driver::finish(uint64_t Window, bool Accepted) {
  wire::command Command;
  Command.mutable_usage_result()->set_window(Window);
  Command.mutable_usage_result()->set_accepted(Accepted);
  Answered.insert(Window);
  Log.propose(std::move(Command),
              [this, Window](const apply_result *) { Answered.erase(Window); });
}

void duty_driver::updateMetrics() {
  const duty_store &Duties = Log.state().duties();
  Metrics.gauge("duty_token", double(Duties.token()));
  Metrics.gauge("usage_reports_pending", double(Duties.pending().size()));
  Metrics.gauge("usage_last_window", double(Duties.lastAccepted()));
  Metrics.setCount("usage_windows_missed", "", Duties.missed());
}

json duty_driver::describe(double Now) {
  const duty_store &Duties = Log.state().duties();
  json Pending = json::array();
  for (const auto &[Window, Report] : Duties.pending())
    Pending.push_back(Window);
  return {{"duty", "usage"},
          {"holder", Duties.node()},
          {"token", Duties.token()},
          {"calling",
           Holder.token(leadershipAt(Now), Duties.token(), Now).has_value()},
          {"window_seconds", Options.Usage.WindowSeconds},
          {"next_window", Duties.nextWindow()},
          {"last_accepted", Duties.lastAccepted()},
          {"pending", std::move(Pending)},
          {"missed", Duties.missed()},
          {"gateways", Collector.reporters()}};
}

} // namespace olivevalve
