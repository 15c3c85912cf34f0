//===- routing_api.cpp - Operators' calls on what is routed where ---------===//

#include "control/routing_api.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/fields.h"
#include "base/log.h"
#include "catalog/routing.h"
#include <utility>

namespace olivevalve {

namespace {

constexpr const char *Json = "application/json";
constexpr const char *RoutingPath = "/v1/routing";
constexpr const char *RolloutsPath = "/v1/rollouts";
constexpr std::string_view EvacuatePath = "/v1/halls/evacuate/";
constexpr std::string_view RestorePath = "/v1/halls/restore/";
constexpr size_t MostHallBytes = 256;
// Orders of more than a day are a slip of the unit.
constexpr double MaxRolloutSeconds = 86400;

void refuse(http_exchange &Exchange, error_kind Kind,
            std::string_view Message) {
  Exchange.reply(answerFor(Kind).HttpStatus, Json, errorBody(Kind, Message));
}

std::string_view stateName(wire::rollout_stage Stage) {
  switch (Stage) {
  case wire::COMPLETED:
    return "completed";
  case wire::REVERTED:
    return "reverted";
  default:
    return "running";
  }
}

absl::StatusOr<wire::rollout> readOrder(const std::string &Body) {
  auto Value = parseJson(Body, "request");
  if (!Value.ok())
    return Value.status();
  fault_list Faults;
  object_reader Reader(*Value, "", Faults);
  std::string Service;
  std::string Target;
  double Duration = 0;
  Reader.text("service", Service, presence::Required);
  Reader.text("target_version", Target, presence::Required);
  Reader.number("duration_s", Duration, {1e-3, MaxRolloutSeconds},
                presence::Required);
  if (!Faults.empty())
    return makeError(error_kind::BadRequest, Faults.text());
  wire::rollout Order;
  Order.set_service(Service);
  Order.set_target_version(Target);
  Order.set_duration_seconds(Duration);
  return Order;
}

} // namespace

bool routing_api::handle(const exchange &Exchange) {
  const std::string &Path = Exchange->path();
  const std::string &Method = Exchange->method();
  std::string RolloutPrefix = std::string(RolloutsPath) + "/";
  bool OfRouting = Path == RoutingPath;
  bool OfRollouts = Path == RolloutsPath || Path.starts_with(RolloutPrefix);
  bool Evacuates = Path.starts_with(EvacuatePath);
  bool Restores = Path.starts_with(RestorePath);
  if (!OfRouting && !OfRollouts && !Evacuates && !Restores)
    return false;
  if (!Log.core().hasLeaderLease(steadySeconds()))
    sendToLeader(Exchange);
  else if (OfRouting && Method == "POST")
    replaceRouting(Exchange);
  else if (OfRouting && Method == "GET")
    readRoutingBack(Exchange);
  else if (Path == RolloutsPath && Method == "POST")
    beginRollout(Exchange);
  else if (Path != RolloutsPath && Method == "GET")
    readRollout(Exchange, Path.substr(RolloutPrefix.size()));
  else if (Evacuates && Method == "POST")
    moveHall(Exchange, std::string_view(Path).substr(EvacuatePath.size()),
             false);
  else if (Restores && Method == "POST")
    moveHall(Exchange, std::string_view(Path).substr(RestorePath.size()), true);
  else
    refuse(*Exchange, error_kind::NotFound, Method + " is not known here");
  return true;
}

// A leader that is not sure of its lead sends nobody to itself.
void routing_api::sendToLeader(const exchange &Exchange) {
  const raft_core &Core = Log.core();
  for (const wire::member &Member : Core.members().members())
    if (Member.id() == Core.leader() && Member.id() != Core.id() &&
        !Member.operator_address().empty())
      return Exchange->reply(
          307, Json, errorBody(error_kind::NotLeader, "ask the leader"),
          {{"Location",
            "http://" + Member.operator_address() + Exchange->path()}});
  refuse(*Exchange, error_kind::NotLeader, "no leader is known now");
}

void routing_api::propose(const exchange &Exchange, wire::command Command) {
  std::weak_ptr<http_exchange> Weak = Exchange;
  double Since = steadySeconds();
  bool Leads = Log.propose(
      std::move(Command), [Weak, Since](const apply_result *Result) {
        auto Exchange = Weak.lock();
        if (!Exchange)
          return;
        logLine(log_level::Info, "operator's order answered",
                {{"path", Exchange->path()},
                 {"seconds", steadySeconds() - Since},
                 {"outcome", !Result               ? "leadership lost"
                             : Result->Status.ok() ? "committed"
                                                   : "refused"}});
        if (!Result)
          return refuse(*Exchange, error_kind::NoQuorum,
                        "leadership was lost; send it again");
        if (!Result->Status.ok())
          return refuse(*Exchange, kindOf(Result->Status),
                        messageOf(Result->Status));
        Exchange->reply(200, Json, "{}\n");
      });
  if (!Leads)
    refuse(*Exchange, error_kind::NotLeader, "this control VM does not lead");
}

void routing_api::replaceRouting(const exchange &Exchange) {
  auto Config = readRouting(Exchange->body());
  if (!Config.ok()) {
    logLine(log_level::Warning, "routing configuration refused",
            {{"reason", messageOf(Config.status())}});
    return refuse(*Exchange, error_kind::BadRequest,
                  messageOf(Config.status()));
  }
  logLine(log_level::Info, "routing configuration proposed",
          {{"version", int64_t(Config->Version)},
           {"held", int64_t(Log.state().routing().version())}});
  wire::command Command;
  *Command.mutable_routing() = changeTo(Config->Version, Exchange->body());
  ReadDocument = Exchange->body();
  LastRead = *std::move(Config);
  propose(Exchange, std::move(Command));
}

std::optional<routing_config>
routing_api::takeRead(const std::string &Document) {
  if (!LastRead || ReadDocument != Document)
    return std::nullopt;
  ReadDocument.clear();
  return std::exchange(LastRead, std::nullopt);
}

// Told by what differs from the last one in the log, committed or not: entries
// before it come first at every VM, or neither comes. A change of one route
// costs what it changes then, in the log and to each other VM.
wire::routing_change routing_api::changeTo(uint64_t Version,
                                           const std::string &Document) {
  const routing_book &Routing = Log.state().routing();
  bool Ahead = Proposed.Term == Log.core().term() &&
               Proposed.Version > Routing.version();
  uint64_t BaseVersion = Ahead ? Proposed.Version : Routing.version();
  wire::routing_change Change;
  Change.set_version(Version);
  // What is held already need not travel again.
  if (Version <= BaseVersion)
    return Change;
  Change =
      makeChange(BaseVersion, Ahead ? Proposed.Document : Routing.document(),
                 Version, Document);
  Proposed = {
      .Term = Log.core().term(), .Version = Version, .Document = Document};
  return Change;
}

void routing_api::readRoutingBack(const exchange &Exchange) {
  const routing_book &Routing = Log.state().routing();
  if (Routing.version() == 0)
    return refuse(*Exchange, error_kind::NoQuorum,
                  "no routing configuration is known yet");
  Exchange->reply(200, Json, Routing.document());
}

void routing_api::beginRollout(const exchange &Exchange) {
  auto Order = readOrder(Exchange->body());
  if (!Order.ok())
    return refuse(*Exchange, error_kind::BadRequest, messageOf(Order.status()));
  wire::command Command;
  *Command.mutable_begin_rollout() = *std::move(Order);
  propose(Exchange, std::move(Command));
}

// Any name is taken: a hall of which nothing is left may be evacuated too, and
// a leader that has just been elected has not heard of all halls yet.
void routing_api::moveHall(const exchange &Exchange, std::string_view DataHall,
                           bool Restore) {
  if (DataHall.empty() || DataHall.size() > MostHallBytes ||
      !isPrintable(DataHall) || DataHall.find('/') != std::string_view::npos)
    return refuse(*Exchange, error_kind::BadRequest,
                  "data hall: must be printable ASCII of 1 to " +
                      std::to_string(MostHallBytes) + " bytes, without '/'");
  if (!Exchange->body().empty())
    return refuse(*Exchange, error_kind::BadRequest,
                  "body: must be empty; the path names the data hall");
  logLine(log_level::Info,
          Restore ? "data hall to be restored" : "data hall to be evacuated",
          {{"data_hall", DataHall},
           {"is_evacuated",
            int64_t(Log.state().evacuations().contains(DataHall))}});
  wire::command Command;
  Command.mutable_evacuation()->set_data_hall(std::string(DataHall));
  Command.mutable_evacuation()->set_restore(Restore);
  propose(Exchange, std::move(Command));
}

void routing_api::readRollout(const exchange &Exchange,
                              const std::string &Service) {
  const wire::rollout *Rollout = Log.state().rollouts().find(Service);
  if (!Rollout)
    return refuse(*Exchange, error_kind::NotFound,
                  "service '" + Service + "' has had no roll-out");
  json Body = {{"state", stateName(Rollout->stage())},
               {"target_version", Rollout->target_version()},
               {"reason", Rollout->reason()}};
  Exchange->reply(200, Json, Body.dump() + "\n");
}

} // namespace olivevalve
