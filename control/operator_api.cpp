//===- operator_api.cpp - The operators' HTTP interface -------------------===//

#include "control/operator_api.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/log.h"
#include "control/control_task.h"
#include <algorithm>
#include <array>

namespace olivevalve {

namespace {

http_limits limitsOf(const control_options &Options) {
  return {.MaxBodyBytes = 16 << 20,
          .MaxConnections = 200,
          .IdleSeconds = 60,
          .MaxHeldBytes = Options.MaxCallerBytes};
}
constexpr const char *Json = "application/json";

void replyJson(http_exchange &Exchange, int Status, const json &Body) {
  Exchange.reply(Status, Json,
                 Body.dump(2, ' ', false, json::error_handler_t::replace) +
                     "\n");
}

void refuse(http_exchange &Exchange, error_kind Kind,
            std::string_view Message) {
  const error_response &Answer = responseFor(Kind);
  std::vector<header_field> Headers = {
      {"X-Olivevalve-Outcome", std::string(nameOf(Answer.Outcome))}};
  Exchange.reply(Answer.HttpStatus, Json, errorBody(Kind, Message), Headers);
}

struct hall_summary {
  size_t Upstreams = 0;
  size_t Processes = 0;
  bool Evacuated = false;
};

// Parses the body of POST /v1/changes. Error: BadRequest with all faults.
absl::StatusOr<wire::change_set> readChangeSet(const std::string &Body) {
  auto Value = parseJson(Body, "request");
  if (!Value.ok())
    return Value.status();
  wire::change_set Set;
  fault_list Faults;
  object_reader Reader(*Value, "", Faults);
  std::string Text;
  Reader.text("change_id", Text, presence::Required);
  Set.set_change_id(Text);
  Text.clear();
  Reader.text("author", Text);
  Set.set_author(Text);
  Reader.elements("changes", [&](const json &Each, const std::string &Path) {
    object_reader Fields(Each, Path, Faults);
    wire::config_change *Change = Set.add_changes();
    std::string Kind;
    std::string Name;
    bool Delete = false;
    int64_t Expected = -1;
    Fields.text("kind", Kind, presence::Required);
    Fields.text("name", Name, presence::Required);
    Fields.flag("delete", Delete);
    Fields.integer("expected_index", Expected, {-1, 9e15});
    Change->set_kind(Kind);
    Change->set_name(Name);
    Change->set_delete_(Delete);
    Change->set_check_index(Expected >= 0);
    Change->set_expected_index(Expected < 0 ? 0 : uint64_t(Expected));
    if (const json *Document = Fields.raw("document"))
      Change->set_document(jsonText(*Document));
    Fields.finish();
  });
  Reader.finish();
  if (!Faults.empty())
    return makeError(error_kind::BadRequest, Faults.text());
  return Set;
}

} // namespace

operator_api::operator_api(control_task &Control, struct ev_loop *Loop)
    : Control(Control), Routing(*Control.Log),
      Server(Loop, limitsOf(Control.Options),
             [this](const exchange &Exchange) { handle(Exchange); }) {}

bool operator_api::allowed(const http_exchange &Exchange) const {
  const auto &Digests = Control.Options.OperatorKeyDigests;
  if (Digests.empty())
    return true;
  std::string Value = Exchange.header("Authorization");
  if (!Value.starts_with("Bearer "))
    return false;
  std::string Digest = secretDigest(Value.substr(7));
  return std::find(Digests.begin(), Digests.end(), Digest) != Digests.end();
}

void operator_api::handle(const exchange &Exchange) {
  struct route {
    std::string_view Method;
    std::string_view Path;
    void (operator_api::*Handler)(const exchange &);
  };
  static constexpr std::array<route, 11> Routes = {{
      {"POST", "/v1/changes", &operator_api::changes},
      {"GET", "/v1/objects", &operator_api::objects},
      {"GET", "/v1/status", &operator_api::status},
      {"GET", "/v1/nodes", &operator_api::nodes},
      {"GET", "/v1/bills", &operator_api::bills},
      {"GET", "/v1/versions", &operator_api::versions},
      {"POST", "/v1/members/remove", &operator_api::removeMember},
      {"GET", "/v1/quarantine", &operator_api::quarantine},
      {"POST", "/v1/quarantine/release", &operator_api::release},
      {"GET", "/v1/halls", &operator_api::halls},
      {"GET", "/v1/duties", &operator_api::duties},
  }};
  if (!allowed(*Exchange))
    return refuse(*Exchange, error_kind::Unauthorized,
                  "an operator's key is required as 'Authorization: Bearer'");
  if (Routing.handle(Exchange))
    return;
  for (const route &Route : Routes) {
    if (Route.Path != Exchange->path() || Route.Method != Exchange->method())
      continue;
    bool AnyVm = Route.Path == "/v1/status";
    if (!AnyVm && !Control.leads(steadySeconds()))
      return refuse(*Exchange, error_kind::NotLeader,
                    "this control VM is not the leader; the leader is " +
                        std::to_string(Control.Log->core().leader()));
    return (this->*Route.Handler)(Exchange);
  }
  refuse(*Exchange, error_kind::NotFound,
         Exchange->method() + " " + Exchange->path() +
             " is no operation of this interface");
}

void operator_api::changes(const exchange &Exchange) {
  auto Set = readChangeSet(Exchange->body());
  if (!Set.ok())
    return refuse(*Exchange, kindOf(Set.status()),
                  std::string(messageOf(Set.status())));
  wire::command Command;
  *Command.mutable_change() = *std::move(Set);
  std::weak_ptr<http_exchange> Weak = Exchange;
  bool Leads = Control.Log->propose(
      std::move(Command), [this, Weak](const apply_result *Result) {
        auto Exchange = Weak.lock();
        if (!Exchange)
          return;
        if (!Result)
          return refuse(*Exchange, error_kind::NoQuorum,
                        "leadership was lost; send the change again with the "
                        "same change_id");
        if (!Result->Status.ok())
          return refuse(*Exchange, kindOf(Result->Status),
                        std::string(messageOf(Result->Status)));
        waitInForce(Exchange, Result->ConfigIndex, Result->Repeated);
      });
  if (!Leads)
    refuse(*Exchange, error_kind::NotLeader,
           "this control VM is not the leader");
}

void operator_api::waitInForce(const exchange &Exchange, uint64_t Index,
                               bool Repeated) {
  std::weak_ptr<http_exchange> Weak = Exchange;
  Control.checkLeadership();
  double Now = steadySeconds();
  Control.Nodes.awaitInForce(
      Index, Now, [Weak, Index, Repeated](double Seconds) {
        auto Exchange = Weak.lock();
        if (!Exchange)
          return;
        logLine(log_level::Info,
                "configuration in force at all nodes with a lease",
                {{"index", int64_t(Index)}, {"seconds", Seconds}});
        replyJson(*Exchange, 200,
                  {{"index", Index},
                   {"in_force", true},
                   {"seconds", Seconds},
                   {"repeated", Repeated}});
      });
  Control.Nodes.poll(Now);
}

void operator_api::objects(const exchange &Exchange) {
  std::string Kind = Exchange->query("kind");
  std::string Name = Exchange->query("name");
  json List = json::array();
  const catalog &Config = Control.Log->state().config();
  for (const auto &[Key, Object] : Config.objects()) {
    bool Matches = (Kind.empty() || Key.Kind == Kind) &&
                   (Name.empty() || Key.Name == Name);
    if (Matches)
      List.push_back({{"kind", Key.Kind},
                      {"name", Key.Name},
                      {"index", Object.Index},
                      {"document", parseJsonOrNull(Object.Text)}});
  }
  replyJson(*Exchange, 200, {{"index", Config.index()}, {"objects", List}});
}

void operator_api::status(const exchange &Exchange) {
  const raft_core &Core = Control.Log->core();
  double Now = steadySeconds();
  json Members = json::array();
  for (const wire::member &Member : Core.members().members())
    Members.push_back(
        {{"id", Member.id()},
         {"address", Member.address()},
         {"disk", hexOf(Member.disk())},
         {"voter", Member.voter()},
         {"match", Core.isLeader() ? Core.matchIndex(Member.id()) : 0},
         {"silent_seconds",
          Core.isLeader() ? Core.secondsSinceContact(Member.id(), Now) : 0.0}});
  replyJson(
      *Exchange, 200,
      {{"id", Core.id()},
       {"disk", hexOf(Control.Log->storage().disk())},
       {"disk_full", Control.Log->isDiskFull()},
       {"member", Core.isMember()},
       {"role", nameOf(Core.role())},
       {"leader", Core.leader()},
       {"leads", Control.leads(Now)},
       {"term", Core.term()},
       {"commit_index", Core.commitIndex()},
       {"applied_index", Control.Log->state().appliedIndex()},
       {"config_index", Control.Log->state().config().index()},
       {"first_index", Core.firstIndex()},
       {"ratings", Control.Log->state().ratings().ratings()},
       {"claims", Control.Log->state().claims().size()},
       {"pins", Control.Log->state().pins().size()},
       {"members_settled", Core.membershipCommitted()},
       {"voters_wanted", Control.Options.Log.TargetVoters},
       {"losses_borne",
        Core.isLeader() ? json(Core.health(Now).LossesBorne) : json(nullptr)},
       {"members", Members}});
}

void operator_api::nodes(const exchange &Exchange) {
  double Now = steadySeconds();
  json List = json::array();
  for (const auto &[Peer, Node] : Control.Nodes.nodes()) {
    json Item = {{"node", Node.Node},
                 {"role", Node.Role},
                 {"data_hall", Node.DataHall},
                 {"config_index", Node.HeldConfigIndex},
                 {"lease_seconds", std::max(0.0, Node.LeaseEnd - Now)},
                 {"seen_seconds_ago", Now - Node.LastSeen},
                 {"stopping", Node.Stopping}};
    const node_spec *Spec = Control.Log->state().config().node(Node.Node);
    if (Node.Role == "entry") {
      Item["open_requests"] = Node.OpenRequests;
      Item["draining"] = Spec && Spec->Draining;
    }
    if (Node.Role == "sidecar") {
      Item["running"] = Node.SidecarReport.running();
      Item["queued"] = Node.SidecarReport.queued();
      Item["slots"] = Node.SidecarReport.slots();
      Item["loaded"] = Node.SidecarReport.versions();
      Item["cache_in_use"] = Node.SidecarReport.engine_load();
    }
    List.push_back(std::move(Item));
  }
  replyJson(*Exchange, 200, {{"nodes", List}});
}

void operator_api::bills(const exchange &Exchange) {
  json List = json::array();
  for (const auto &[Line, Sum] : Control.Log->state().bills().totals())
    List.push_back({{"account", Line.Account},
                    {"model", Line.Model},
                    {"version", Line.Version},
                    {"requests", Sum.Requests},
                    {"input_tokens", Sum.InputTokens},
                    {"cached_tokens", Sum.CachedTokens},
                    {"output_tokens", Sum.OutputTokens},
                    {"cost", double(Sum.CostMicros) * 1e-6}});
  replyJson(*Exchange, 200, {{"bills", List}});
}

void operator_api::versions(const exchange &Exchange) {
  json List = json::array();
  const catalog &Config = Control.Log->state().config();
  std::map<version_name, guard_report> Reports;
  for (guard_report &Report : Control.Log->state().ratings().evaluate(Config))
    Reports[Report.Name] = std::move(Report);
  Config.forEach<model_spec>([&](const model_spec &Model) {
    for (const auto &[Version, Spec] : Model.Versions) {
      const guard_report &Report = Reports[{Model.Name, Version}];
      List.push_back({{"model", Model.Name},
                      {"version", Version},
                      {"state", nameOf(Spec.State)},
                      {"stopped_templates", Spec.StoppedFor.Templates},
                      {"stopped_accounts", Spec.StoppedFor.Accounts},
                      {"answers", Report.Answers},
                      {"ratings", Report.Ratings},
                      {"evidence_against", Report.Evidence},
                      {"allowance", Report.Allowance}});
    }
  });
  replyJson(*Exchange, 200, {{"versions", List}});
}

void operator_api::removeMember(const exchange &Exchange) {
  auto Body = parseJson(Exchange->body(), "request");
  bool Valid = Body.ok() && Body->is_object() && Body->contains("id") &&
               (*Body)["id"].is_number_unsigned();
  if (!Valid)
    return refuse(*Exchange, error_kind::BadRequest,
                  "id: must be the id of a control VM");
  if (!Control.Log->removeMember((*Body)["id"].get<uint64_t>()))
    return refuse(
        *Exchange, error_kind::Conflict,
        "id: is not a member, is the leader, or another membership change "
        "is in progress; see 'olivevalvectl status'");
  replyJson(*Exchange, 200, {{"removed", (*Body)["id"]}});
}

void operator_api::quarantine(const exchange &Exchange) {
  double Now = steadySeconds();
  double Wall = wallSeconds();
  json List = json::array();
  for (const auto &Each : Control.Log->state().quarantine().all()) {
    short_digest Request = digestOf(Each.request());
    json Upstreams = json::array();
    for (uint64_t Upstream : Each.upstreams())
      Upstreams.push_back(hexOf(Upstream));
    List.push_back(
        {{"request", hexOf(Request)},
         {"kind", nameOf(Each.kind() == wire::CRASH_CAUSE_BLOCK
                             ? crash_cause_kind::Block
                             : crash_cause_kind::Request)},
         {"upstreams_ended", Upstreams},
         {"trials", Each.trials()},
         {"since_seconds", std::max(0.0, Wall - Each.since_wall())},
         {"seconds_left", Control.Quarantine.secondsLeft(Request, Now)}});
  }
  replyJson(*Exchange, 200, {{"quarantine", List}});
}

// Lists the data halls of all known upstreams, gateways and nodes, and those
// that are evacuated.
void operator_api::halls(const exchange &Exchange) {
  std::map<std::string, hall_summary> Halls;
  for (const auto &[Name, Count] : Control.Upstreams.countByHall())
    Halls[Name].Upstreams += Count;
  Control.Log->state().config().forEach<upstream_spec>(
      [&](const upstream_spec &Each) { ++Halls[Each.DataHall].Upstreams; });
  for (const auto &[Peer, Gateway] : Control.Gateways.gateways())
    ++Halls[Gateway.DataHall].Processes;
  for (const auto &[Peer, Node] : Control.Nodes.nodes())
    ++Halls[Node.DataHall].Processes;
  const evacuation_store &Evacuations = Control.Log->state().evacuations();
  for (const auto &[Name, Evacuation] : Evacuations.all())
    Halls[Name].Evacuated = true;
  json List = json::array();
  for (const auto &[Name, Summary] : Halls) {
    json Item = {{"data_hall", Name},
                 {"evacuated", Summary.Evacuated},
                 {"upstreams", Summary.Upstreams},
                 {"processes", Summary.Processes}};
    if (Summary.Evacuated) {
      double Since = Evacuations.all().at(Name).since_wall();
      Item["since_seconds"] = std::max(0.0, wallSeconds() - Since);
      Item["gateways_behind"] =
          Control.Gateways.countBehindEvacuations(Evacuations.revision());
      Item["open_requests"] = Control.Gateways.openRequestsIn(Name);
    }
    List.push_back(std::move(Item));
  }
  replyJson(*Exchange, 200, {{"halls", List}});
}

void operator_api::duties(const exchange &Exchange) {
  json List = json::array();
  if (Control.Duties->reportsUsage())
    List.push_back(Control.Duties->describe(steadySeconds()));
  replyJson(*Exchange, 200, {{"duties", List}});
}

void operator_api::release(const exchange &Exchange) {
  auto Body = parseJson(Exchange->body(), "request");
  std::optional<short_digest> Request;
  if (Body.ok() && Body->is_object() && Body->contains("request") &&
      (*Body)["request"].is_string())
    Request = digestFromHex((*Body)["request"].get<std::string>());
  if (!Request)
    return refuse(*Exchange, error_kind::BadRequest,
                  "request: must be 32 hexadecimal digits, as "
                  "shown by 'olivevalvectl quarantine'");
  wire::command Command;
  fillName(*Request, *Command.mutable_quarantine()->mutable_release());
  std::weak_ptr<http_exchange> Weak = Exchange;
  bool Leads = Control.Log->propose(
      std::move(Command), [Weak](const apply_result *Result) {
        auto Exchange = Weak.lock();
        if (!Exchange)
          return;
        if (!Result)
          return refuse(*Exchange, error_kind::NoQuorum,
                        "leadership was lost; send the request again");
        if (!Result->Status.ok())
          return refuse(*Exchange, kindOf(Result->Status),
                        std::string(messageOf(Result->Status)));
        replyJson(*Exchange, 200, {{"released", true}});
      });
  if (!Leads)
    refuse(*Exchange, error_kind::NotLeader,
           "this control VM is not the leader");
}

} // namespace olivevalve
