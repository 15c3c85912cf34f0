//===- node.cpp - One process with its roles ------------------------------===//

#include "daemon/node.h"
#include "base/clock.h"
#include "base/error.h"

namespace olivevalve {

namespace {

// Answers about the process itself are short, and few ask for them.
constexpr size_t HealthBytes = 4 << 20;
constexpr double DrainPollSeconds = 0.05;
// Interval between logs of link traffic, about a dozen short lines each.
constexpr double TrafficLogSeconds = 10;
// Between looks for freed memory that can be returned.
constexpr double FreedSeconds = 1;
constexpr std::string_view BytesSuffix = "_bytes";
// Lets the last outgoing messages be sent before the event loop ends.
constexpr double FlushSeconds = 0.1;
// From a failure of control to the end of the process. Longer than an election,
// which takes up to 2 s: a disk that fails every sync must not disturb the next
// election by starting anew during it.
constexpr double FailurePauseSeconds = 3;

} // namespace

node::node(struct ev_loop *Loop, const settings &Settings, link_keys Keys)
    : Loop(Loop), Settings(Settings), Context(std::move(Keys)),
      LinkAuthenticator(Context, Loop),
      Health(Loop,
             {.MaxBodyBytes = 1024,
              .MaxConnections = 50,
              .MaxHeldBytes = HealthBytes},
             [this](const std::shared_ptr<http_exchange> &Exchange) {
               handleHealth(Exchange);
             }),
      TrafficTimer(Loop, [this] { logTraffic(); }),
      FreedTimer(Loop, [this] { Freed.returnExcess(); }),
      DrainTimer(Loop, [this] { checkDrain(); }),
      ExitTimer(Loop, [this] { ev_break(this->Loop, EVBREAK_ALL); }),
      FailureTimer(Loop, [this] {
        if (!Stopping)
          end();
      }) {}

absl::Status node::start() {
  auto Bind = [](bool Good, std::string_view What, const std::string &Address) {
    return Good ? absl::OkStatus()
                : makeError(error_kind::BadConfiguration,
                            std::string(What) + ": cannot bind " + Address);
  };
  absl::Status Status = Bind(Health.bind(Settings.HealthAddress),
                             "health_address", Settings.HealthAddress);
  if (Status.ok() && Settings.Control) {
    auto Task = control_task::start(Context, Loop, Metrics, *Settings.Control);
    if (!Task.ok())
      return Task.status();
    Control = *std::move(Task);
    Control->OnFailed = [this] {
      ExitCode = 3;
      FailureTimer.startOnce(FailurePauseSeconds);
    };
  }
  if (Status.ok() && Settings.Sidecar) {
    Sidecar = std::make_unique<sidecar_task>(Context, Loop, Metrics,
                                             *Settings.Sidecar);
    Status =
        Bind(Sidecar->bind(), "sidecar.address", Settings.Sidecar->Address);
  }
  if (Status.ok() && Settings.Entry) {
    Entry =
        std::make_unique<entry_task>(Context, Loop, Metrics, *Settings.Entry);
    Status = Bind(Entry->bind(), "entry.address", Settings.Entry->Address);
  }
  if (Status.ok() && Settings.Gateway) {
    Gateway = std::make_unique<gateway_task>(Context, Loop, Metrics,
                                             *Settings.Gateway);
    Status =
        Bind(Gateway->bind(), "gateway.address", Settings.Gateway->Address);
  }
  if (!Status.ok())
    return Status;
  TrafficTimer.startRepeating(TrafficLogSeconds);
  FreedTimer.startRepeating(FreedSeconds);
  logLine(log_level::Info, "started",
          {{"health", Health.address()},
           {"entry", Entry ? Entry->address() : ""},
           {"gateway", Gateway ? Gateway->address() : ""},
           {"sidecar", Sidecar ? Sidecar->address() : ""},
           {"control", Control ? Control->address() : ""},
           {"operators", Control ? Control->operatorAddress() : ""}});
  return absl::OkStatus();
}

bool node::ready() const {
  return !Stopping && (!Control || Control->ready()) &&
         (!Sidecar || Sidecar->ready()) && (!Entry || Entry->ready()) &&
         (!Gateway || Gateway->ready());
}

void node::handleHealth(const std::shared_ptr<http_exchange> &Exchange) {
  const std::string &Path = Exchange->path();
  if (Path == "/healthz")
    return Exchange->reply(200, "text/plain", "ok\n");
  if (Path == "/readyz")
    return Exchange->reply(ready() ? 200 : 503, "text/plain",
                           ready() ? "ready\n" : "not ready\n");
  if (Path == "/metrics")
    updateProcessMetrics();
  if (Path == "/metrics")
    return Exchange->reply(200, "text/plain; version=0.0.4",
                           Metrics.prometheusText());
  if (Path == "/log-level" && Exchange->method() == "PUT") {
    auto Level = logLevelFromName(Exchange->body());
    if (!Level)
      return Exchange->reply(400, "text/plain",
                             "body: must be debug, info, warning or error\n");
    setLogLevel(*Level);
    return Exchange->reply(200, "text/plain", "ok\n");
  }
  Exchange->reply(404, "text/plain",
                  "known: /healthz /readyz /metrics, PUT /log-level\n");
}

void node::recordCallers(const std::string &Role, const caller_pool &Callers) {
  Metrics.gauge(Role + "_caller_bytes", double(Callers.memory().heldBytes()));
  Metrics.gauge(Role + "_caller_bytes_max",
                double(Callers.memory().maxBytes()));
  Metrics.setCount("callers_shed", Role + ", refused",
                   Callers.shedCounts().Refused);
  Metrics.setCount("callers_shed", Role + ", closed",
                   Callers.shedCounts().Closed);
}

void node::updateProcessMetrics() {
  if (Gateway)
    recordCallers("gateway", Gateway->callers());
  if (Entry)
    recordCallers("entry", Entry->callers());
  if (Control)
    recordCallers("control", Control->callers());
  recordCallers("health", Health.callers());
  for (size_t Kind = 0; Kind < link_traffic::Kinds; ++Kind) {
    const message_traffic &Traffic = Context.traffic().ByKind[Kind];
    if (Traffic.SentMessages + Traffic.ReceivedMessages == 0)
      continue;
    std::string_view Name = trafficKindName(Kind);
    Metrics.setCount("link_sent_messages", Name, Traffic.SentMessages);
    Metrics.setCount("link_sent_bytes", Name, Traffic.SentBytes);
    Metrics.setCount("link_received_messages", Name, Traffic.ReceivedMessages);
    Metrics.setCount("link_received_bytes", Name, Traffic.ReceivedBytes);
  }
  Metrics.setCount("link_malformed", "", Context.traffic().Malformed);
  log_state Log = logState();
  Metrics.setCount("log_lines_dropped", "", Log.DroppedLines);
  Metrics.gauge("log_held_bytes", double(Log.HeldBytes));
}

// Logs every byte counter that is not zero, so that the log alone shows which
// kinds of message account for the traffic of a link.
void node::logTraffic() {
  updateProcessMetrics();
  Metrics.eachCount([](std::string_view Counter, std::string_view Label,
                       uint64_t Value) {
    if (Value > 0 && Counter.ends_with(BytesSuffix))
      logLine(
          log_level::Info, "bytes since process start",
          {{"counter", Counter}, {"kind", Label}, {"bytes", int64_t(Value)}});
  });
}

void node::stop() {
  if (Stopping) {
    ExitCode = 4;
    return ev_break(Loop, EVBREAK_ALL);
  }
  Stopping = true;
  logLine(log_level::Info, "draining");
  double Now = steadySeconds();
  if (Gateway)
    Gateway->beginStop();
  RefuseAt = Entry || Gateway ? Now + Settings.UnreadySeconds : Now;
  DrainUntil = RefuseAt + Settings.DrainSeconds;
  DrainTimer.startRepeating(DrainPollSeconds);
  checkDrain();
}

// Applies the log level, the addresses of other control VMs and the drain
// times. The addresses that the process listens on and its data folder are
// fixed until its next start.
void node::reload(const settings &Changed) {
  setLogLevel(Changed.LogLevel);
  if (Gateway && Changed.Gateway)
    Gateway->setSeeds(Changed.Gateway->ControlSeeds);
  if (Control && Changed.Control)
    Control->setPeers(Changed.Control->Log.Peers);
  Settings.DrainSeconds = Changed.DrainSeconds;
  Settings.UnreadySeconds = Changed.UnreadySeconds;
  logLine(log_level::Info, "settings reloaded");
}

void node::beginDrain() {
  Refusing = true;
  if (Entry)
    Entry->drain();
  if (Gateway)
    Gateway->drain();
  if (Sidecar)
    Sidecar->drain();
  if (Control)
    Control->drain();
}

// All roles must have drained, control too: the other roles hand their bills to
// it.
void node::checkDrain() {
  double Now = steadySeconds();
  if (!Refusing && Now >= RefuseAt)
    beginDrain();
  if (!Refusing)
    return;
  bool TimedOut = Now >= DrainUntil;
  bool Done =
      (!Entry || Entry->drained()) && (!Gateway || Gateway->drained()) &&
      (!Sidecar || Sidecar->drained()) && (!Control || Control->drained());
  if (!Done && !TimedOut)
    return;
  if (TimedOut)
    logLine(log_level::Warning,
            "drain_seconds exceeded; aborting requests in flight");
  DrainTimer.stop();
  end();
}

void node::end() {
  if (Entry)
    Entry->leave();
  if (Sidecar)
    Sidecar->leave();
  if (Gateway)
    Gateway->leave();
  logLine(log_level::Info, "stopped");
  ExitTimer.startOnce(FlushSeconds);
}

} // namespace olivevalve
