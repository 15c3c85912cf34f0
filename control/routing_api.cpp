//===- routing_api.cpp - Operators' routing interface ---------------------===//

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
constexpr size_t MaxHallNameBytes = 256;
// A roll-out longer than a day is assumed to be a mistake in the unit.
constexpr double MaxRolloutSeconds = 86400;

void refuse(http_exchange &Exchange, error_kind Kind,
            std::string_view Message) {
  Exchange.reply(responseFor(Kind).HttpStatus, Json, errorBody(Kind, Message));
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

absl::StatusOr<wire::rollout> parseOrder(const std::string &Body) {
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
  bool IsRouting = Path == RoutingPath;
  bool IsRollout = Path == RolloutsPath || Path.starts_with(RolloutPrefix);
  bool IsEvacuation = Path.starts_with(EvacuatePath);
  bool IsRestoration = Path.starts_with(RestorePath);
  if (!IsRouting && !IsRollout && !IsEvacuation && !IsRestoration)
    return false;
  if (!Log.hasLeaderLease(steadySeconds()))
    redirectToLeader(Exchange);
  else if (IsRouting && Method == "POST")
    replaceRouting(Exchange);
  else if (IsRouting && Method == "GET")
    getRouting(Exchange);
  else if (Path == RolloutsPath && Method == "POST")
    beginRollout(Exchange);
  else if (Path != RolloutsPath && Method == "GET")
    getRollout(Exchange, Path.substr(RolloutPrefix.size()));
  else if (IsEvacuation && Method == "POST")
    setEvacuation(Exchange, std::string_view(Path).substr(EvacuatePath.size()),
                  false);
  else if (IsRestoration && Method == "POST")
    setEvacuation(Exchange, std::string_view(Path).substr(RestorePath.size()),
                  true);
  else
    refuse(*Exchange, error_kind::NotFound,
           Method + " is not supported for this path");
  return true;
}

// A leader without a leader lease does not redirect to itself.
void routing_api::redirectToLeader(const exchange &Exchange) {
  const raft_core &Core = Log.core();
  for (const wire::member &Member : Core.members().members())
    if (Member.id() == Core.leader() && Member.id() != Core.id() &&
        !Member.operator_address().empty())
      return Exchange->reply(
          307, Json,
          errorBody(
              error_kind::NotLeader,
              "this control VM is not the leader; send the request to the "
              "address in Location"),
          {{"Location",
            "http://" + Member.operator_address() + Exchange->path()}});
  refuse(*Exchange, error_kind::NotLeader,
         "no control VM is known to be the leader; retry");
}

bool routing_api::propose(const exchange &Exchange, wire::command Command,
                          const std::function<void(bool Applied)> &OnDone) {
  std::weak_ptr<http_exchange> Weak = Exchange;
  double Since = steadySeconds();
  bool Leads = Log.propose(
      std::move(Command), [Weak, Since, OnDone](const apply_result *Result) {
        if (OnDone)
          OnDone(Result && Result->Status.ok());
        auto Exchange = Weak.lock();
        if (!Exchange)
          return;
        logLine(log_level::Info, "operator's request answered",
                {{"path", Exchange->path()},
                 {"seconds", steadySeconds() - Since},
                 {"outcome", !Result               ? "leadership lost"
                             : Result->Status.ok() ? "committed"
                                                   : "refused"}});
        if (!Result)
          return refuse(*Exchange, error_kind::NoQuorum,
                        "leadership was lost; send the request again");
        if (!Result->Status.ok())
          return refuse(*Exchange, kindOf(Result->Status),
                        messageOf(Result->Status));
        Exchange->reply(200, Json, "{}\n");
      });
  if (!Leads)
    refuse(*Exchange, error_kind::NotLeader,
           "this control VM is not the leader");
  return Leads;
}

void routing_api::replaceRouting(const exchange &Exchange) {
  auto Config = readRouting(Exchange->body());
  if (!Config.ok()) {
    logLine(log_level::Warning, "routing configuration rejected",
            {{"reason", messageOf(Config.status())}});
    return refuse(*Exchange, error_kind::BadRequest,
                  messageOf(Config.status()));
  }
  logLine(log_level::Info, "routing configuration proposed",
          {{"version", int64_t(Config->Version)},
           {"held", int64_t(Log.state().routing().version())}});
  const proposal Base = newestProposal();
  uint64_t Version = Config->Version;
  const std::string &Document = Exchange->body();
  wire::command Command;
  // The document of a version that is not newer is left out.
  *Command.mutable_routing() =
      Version <= Base.Version
          ? makeRoutingResend(Base.Version, Version)
          : makeRoutingChange(Base.Version, Base.Document, Version, Document);
  ParsedDocument = Document;
  ParsedConfig = *std::move(Config);
  bool Proposed = propose(Exchange, std::move(Command), [this](bool Applied) {
    // What has not been applied must not be the base of further changes.
    if (!Applied)
      LastProposal = {};
  });
  if (Proposed && Version > Base.Version)
    LastProposal = {
        .Term = Log.core().term(), .Version = Version, .Document = Document};
}

std::optional<routing_config>
routing_api::takeParsed(const std::string &Document) {
  if (!ParsedConfig || ParsedDocument != Document)
    return std::nullopt;
  ParsedDocument.clear();
  return std::exchange(ParsedConfig, std::nullopt);
}

// The newest document in the log. It need not be committed yet: earlier entries
// are applied first at every VM, or neither is. Encoding a change as a
// difference from it adds only that change to the log and to the traffic
// between control VMs.
routing_api::proposal routing_api::newestProposal() const {
  const routing_store &Routing = Log.state().routing();
  uint64_t Term = Log.core().term();
  if (LastProposal.Term == Term && LastProposal.Version > Routing.version())
    return LastProposal;
  return {.Term = Term,
          .Version = Routing.version(),
          .Document = Routing.document()};
}

void routing_api::getRouting(const exchange &Exchange) {
  const routing_store &Routing = Log.state().routing();
  if (Routing.version() == 0)
    return refuse(*Exchange, error_kind::NoQuorum,
                  "no routing configuration has been set yet");
  if (Routing.isLost())
    return refuse(*Exchange, error_kind::NoQuorum,
                  "the document of routing version " +
                      std::to_string(Routing.version()) +
                      " was lost; send one with a higher version");
  Exchange->reply(200, Json, Routing.document());
}

void routing_api::beginRollout(const exchange &Exchange) {
  auto Order = parseOrder(Exchange->body());
  if (!Order.ok())
    return refuse(*Exchange, error_kind::BadRequest, messageOf(Order.status()));
  const std::string &Service = Order->service();
  Order->set_former_version(formerVersion(Log.state().rollouts().find(Service),
                                          CountByVersion
                                              ? CountByVersion(Service)
                                              : std::map<std::string, size_t>(),
                                          Order->target_version()));
  logLine(log_level::Info, "roll-out of a service proposed",
          {{"service", Service},
           {"version", Order->target_version()},
           {"former_version", Order->former_version()}});
  wire::command Command;
  *Command.mutable_begin_rollout() = *std::move(Order);
  propose(Exchange, std::move(Command));
}

// Accepts any name: a data hall without any upstream or process left may be
// evacuated too, and a new leader does not have all data halls yet.
void routing_api::setEvacuation(const exchange &Exchange,
                                std::string_view DataHall, bool Restore) {
  if (DataHall.empty() || DataHall.size() > MaxHallNameBytes ||
      !isPrintable(DataHall) || DataHall.find('/') != std::string_view::npos)
    return refuse(*Exchange, error_kind::BadRequest,
                  "data hall: must be printable ASCII of 1 to " +
                      std::to_string(MaxHallNameBytes) + " bytes, without '/'");
  if (!Exchange->body().empty())
    return refuse(*Exchange, error_kind::BadRequest,
                  "body: must be empty; the data hall is given in the path");
  logLine(log_level::Info,
          Restore ? "proposing to restore a data hall"
                  : "proposing to evacuate a data hall",
          {{"data_hall", DataHall},
           {"is_evacuated",
            int64_t(Log.state().evacuations().contains(DataHall))}});
  wire::command Command;
  Command.mutable_evacuation()->set_data_hall(std::string(DataHall));
  Command.mutable_evacuation()->set_restore(Restore);
  propose(Exchange, std::move(Command));
}

void routing_api::getRollout(const exchange &Exchange,
                             const std::string &Service) {
  const wire::rollout *Rollout = Log.state().rollouts().find(Service);
  if (!Rollout)
    return refuse(*Exchange, error_kind::NotFound,
                  "service '" + Service + "' has never had a roll-out");
  json Body = {{"state", stateName(Rollout->stage())},
               {"target_version", Rollout->target_version()},
               {"reason", Rollout->reason()}};
  Exchange->reply(200, Json, jsonText(Body) + "\n");
}

} // namespace olivevalve
