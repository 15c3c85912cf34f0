//===- commands.cpp - Commands of olivevalvectl ---------------------------===//

#include "ctl/commands.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "ctl/config_file.h"
#include "ctl/table.h"
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>
#include <zmq.h>

namespace olivevalve {

namespace {

constexpr double WatchSeconds = 0.5; ///< Interval of polls by watch.

absl::Status usage(std::string_view Text) {
  return makeError(error_kind::BadRequest, Text);
}

void print(const std::string &Text) {
  std::fwrite(Text.data(), 1, Text.size(), stdout);
  std::fflush(stdout);
}

void printJson(const json &Value) { print(Value.dump(2) + "\n"); }

/// Gets \p Path and prints the array \p List of the answer as a table, or the
/// whole answer as JSON.
absl::Status printList(const command_options &Options, const std::string &Path,
                       const std::string &List,
                       const std::vector<table_column> &Columns) {
  auto Answer = operator_client(Options.Client).get(Path);
  if (!Answer.ok())
    return Answer.status();
  if (Options.Json)
    printJson(*Answer);
  else
    print(formatTable((*Answer)[List], Columns));
  return absl::OkStatus();
}

/// Sends changes under one id and prints the index and the time at which they
/// took effect.
absl::Status sendChanges(const command_options &Options, const json &Changes) {
  std::string Id = Options.ChangeId.empty()
                       ? "ctl-" + hexOf(randomIncarnation())
                       : Options.ChangeId;
  const char *User = std::getenv("USER");
  json Body = {{"change_id", Id},
               {"author", User && *User ? User : "operator"},
               {"changes", Changes}};
  auto Answer = operator_client(Options.Client).post("/v1/changes", Body);
  if (!Answer.ok())
    return Answer.status();
  if (Options.Json)
    printJson(*Answer);
  else
    print(absl::StrCat("in effect at index ", (*Answer)["index"].dump(),
                       " after ", (*Answer)["seconds"].dump(), " s\n"));
  return absl::OkStatus();
}

absl::StatusOr<json> readObjects(const command_options &Options) {
  return operator_client(Options.Client).get("/v1/objects");
}

/// An object that control holds; Index is 0 if it does not exist.
struct stored_object {
  uint64_t Index = 0;
  json Document;
};

stored_object findObject(const json &Answer, const object_key &Key) {
  for (const json &Object : Answer["objects"])
    if (Object["kind"] == Key.Kind && Object["name"] == Key.Name)
      return {Object["index"].get<uint64_t>(), Object["document"]};
  return {};
}

json makePut(const object_key &Key, const stored_object &Stored,
             const json &Document) {
  return {{"kind", Key.Kind},
          {"name", Key.Name},
          {"expected_index", Stored.Index},
          {"document", Document}};
}

/// The changes that apply would send: one for each object of the file that is
/// new or differs from what control holds.
absl::StatusOr<json> pendingChanges(const command_options &Options) {
  if (Options.File.empty())
    return usage("-f FILE is required");
  auto File = loadConfigFile(Options.File);
  if (!File.ok())
    return File.status();
  auto Answer = readObjects(Options);
  if (!Answer.ok())
    return Answer.status();
  json Changes = json::array();
  for (const file_object &Object : File->Objects) {
    stored_object Stored = findObject(*Answer, Object.Key);
    if (Stored.Index == 0 || Stored.Document != Object.Document)
      Changes.push_back(makePut(Object.Key, Stored, Object.Document));
  }
  return Changes;
}

absl::Status apply(const command_options &Options) {
  auto Changes = pendingChanges(Options);
  if (!Changes.ok())
    return Changes.status();
  if (Changes->empty()) {
    print("no changes\n");
    return absl::OkStatus();
  }
  return sendChanges(Options, *Changes);
}

absl::Status diff(const command_options &Options) {
  auto Changes = pendingChanges(Options);
  if (!Changes.ok())
    return Changes.status();
  if (Options.Json) {
    printJson(*Changes);
    return absl::OkStatus();
  }
  for (const json &Change : *Changes) {
    bool New = Change["expected_index"] == 0;
    print(absl::StrCat(New ? "+ " : "~ ", Change["kind"].get<std::string>(),
                       "/", Change["name"].get<std::string>(), " ",
                       Change["document"].dump(), "\n"));
  }
  return absl::OkStatus();
}

absl::Status check(const command_options &Options) {
  if (Options.File.empty())
    return usage("-f FILE is required");
  auto File = loadConfigFile(Options.File);
  if (!File.ok())
    return File.status();
  if (absl::Status Status = checkConfig(*File); !Status.ok())
    return Status;
  print(absl::StrCat(Options.File, ": valid; ", File->Objects.size(),
                     " objects\n"));
  return absl::OkStatus();
}

absl::Status halls(const command_options &Options) {
  return printList(Options, "/v1/halls", "halls",
                   {{"DATA HALL", "data_hall"},
                    {"EVACUATED", "evacuated"},
                    {"SINCE S", "since_seconds"},
                    {"OPEN REQUESTS", "open_requests"},
                    {"GATEWAYS BEHIND", "gateways_behind"},
                    {"UPSTREAMS", "upstreams"},
                    {"PROCESSES", "processes"}});
}

absl::Status rollout(const command_options &Options) {
  if (Options.Arguments.size() != 1)
    return usage("rollout SERVICE");
  auto Answer = operator_client(Options.Client)
                    .get("/v1/rollouts/" + Options.Arguments[0]);
  if (!Answer.ok())
    return Answer.status();
  if (Options.Json)
    printJson(*Answer);
  else
    print(formatTable(json::array({*Answer}), {{"VERSION", "target_version"},
                                               {"STATE", "state"},
                                               {"REASON", "reason"}}));
  return absl::OkStatus();
}

absl::Status duties(const command_options &Options) {
  return printList(Options, "/v1/duties", "duties",
                   {{"DUTY", "duty"},
                    {"HOLDER", "holder"},
                    {"TOKEN", "token"},
                    {"CALLING", "calling"},
                    {"LAST ACCEPTED", "last_accepted"},
                    {"NEXT WINDOW", "next_window"},
                    {"PENDING", "pending"},
                    {"MISSED", "missed"},
                    {"GATEWAYS", "gateways"}});
}

absl::Status get(const command_options &Options) {
  if (!Options.Arguments.empty() && Options.Arguments[0] == "halls")
    return halls(Options);
  std::string Path = "/v1/objects";
  if (!Options.Arguments.empty())
    Path += "?kind=" + Options.Arguments[0];
  if (Options.Arguments.size() > 1)
    Path += "&name=" + Options.Arguments[1];
  return printList(Options, Path, "objects",
                   {{"KIND", "kind"},
                    {"NAME", "name"},
                    {"INDEX", "index"},
                    {"DOCUMENT", "document"}});
}

absl::Status remove(const command_options &Options) {
  if (Options.Arguments.size() != 2)
    return usage("delete KIND NAME");
  object_key Key{Options.Arguments[0], Options.Arguments[1]};
  auto Answer = readObjects(Options);
  if (!Answer.ok())
    return Answer.status();
  stored_object Stored = findObject(*Answer, Key);
  if (Stored.Index == 0)
    return makeError(error_kind::NotFound, Key.text() + ": does not exist");
  return sendChanges(Options, json::array({{{"kind", Key.Kind},
                                            {"name", Key.Name},
                                            {"expected_index", Stored.Index},
                                            {"delete", true}}}));
}

/// Reads an object, lets \p Edit change its document, and writes it back; fails
/// with a conflict if it was changed in between.
template <typename Function>
absl::Status editObject(const command_options &Options, const object_key &Key,
                        Function Edit) {
  auto Answer = readObjects(Options);
  if (!Answer.ok())
    return Answer.status();
  stored_object Stored = findObject(*Answer, Key);
  if (Stored.Index == 0)
    return makeError(error_kind::NotFound, Key.text() + ": does not exist");
  if (absl::Status Status = Edit(Stored.Document); !Status.ok())
    return Status;
  return sendChanges(Options,
                     json::array({makePut(Key, Stored, Stored.Document)}));
}

absl::Status set(const command_options &Options) {
  if (Options.Arguments.size() < 3)
    return usage("set KIND NAME FIELD=VALUE...; FIELD may be a.b");
  object_key Key{Options.Arguments[0], Options.Arguments[1]};
  return editObject(Options, Key, [&](json &Document) -> absl::Status {
    for (size_t I = 2; I < Options.Arguments.size(); ++I) {
      const std::string &Text = Options.Arguments[I];
      size_t Equals = Text.find('=');
      if (Equals == std::string::npos || Equals == 0)
        return usage(Text + ": must be FIELD=VALUE");
      std::string Pointer = "/" + Text.substr(0, Equals);
      for (char &C : Pointer)
        C = C == '.' ? '/' : C;
      std::string Value = Text.substr(Equals + 1);
      auto Parsed = parseJson(Value, Text);
      Document[json::json_pointer(Pointer)] =
          Parsed.ok() ? *std::move(Parsed) : json(Value);
    }
    return absl::OkStatus();
  });
}

absl::Status version(const command_options &Options) {
  struct action {
    std::string_view Name;
    version_state State;
  };
  constexpr std::array<action, 5> Actions = {
      {{"roll-out", version_state::Rolling},
       {"pause", version_state::Paused},
       {"resume", version_state::Rolling},
       {"activate", version_state::Active},
       {"withdraw", version_state::Withdrawn}}};
  const action *Match = nullptr;
  for (const action &Each : Actions)
    if (!Options.Arguments.empty() && Options.Arguments[0] == Each.Name)
      Match = &Each;
  if (!Match || Options.Arguments.size() != 2)
    return usage("version roll-out|pause|resume|activate|withdraw "
                 "MODEL@VERSION");
  version_name Name = parseVersionName(Options.Arguments[1]);
  return editObject(Options, {"model", Name.Model},
                    [&](json &Document) -> absl::Status {
                      if (!Document["versions"].contains(Name.Version))
                        return makeError(error_kind::NotFound,
                                         Name.text() + ": does not exist");
                      json &Version = Document["versions"][Name.Version];
                      Version["state"] = nameOf(Match->State);
                      // Clears the scopes for which the guard has stopped the
                      // version: the operator's decision takes precedence.
                      bool ClearsStops = Match->Name == "roll-out" ||
                                         Match->Name == "activate";
                      if (ClearsStops)
                        Version.erase("stopped_for");
                      return absl::OkStatus();
                    });
}

absl::Status versions(const command_options &Options) {
  return printList(Options, "/v1/versions", "versions",
                   {{"MODEL", "model"},
                    {"VERSION", "version"},
                    {"STATE", "state"},
                    {"STOPPED FOR TEMPLATES", "stopped_templates"},
                    {"AND ACCOUNTS", "stopped_accounts"},
                    {"ANSWERS", "answers"},
                    {"RATINGS", "ratings"},
                    {"EVIDENCE AGAINST", "evidence_against"},
                    {"ALLOWANCE", "allowance"}});
}

/// True if a process named \p Name holds or has held a lease as an entry.
absl::StatusOr<bool> isEntry(const command_options &Options,
                             const std::string &Name) {
  auto Answer = operator_client(Options.Client).get("/v1/nodes");
  if (!Answer.ok())
    return Answer.status();
  for (const json &Node : (*Answer)["nodes"])
    if (Node["node"] == Name && Node["role"] == "entry")
      return true;
  return false;
}

/// A draining upstream gets no new requests. A draining entry reports not ready
/// and still serves the requests that it gets until the balancer has noticed.
absl::Status setDraining(const command_options &Options, bool Draining) {
  if (Options.Arguments.size() != 1)
    return usage("drain|undrain UPSTREAM|ENTRY");
  const std::string &Name = Options.Arguments[0];
  auto Answer = readObjects(Options);
  if (!Answer.ok())
    return Answer.status();
  object_key Key{"upstream", Name};
  stored_object Stored = findObject(*Answer, Key);
  if (Stored.Index != 0) {
    Stored.Document["leaving"] = Draining;
    return sendChanges(Options,
                       json::array({makePut(Key, Stored, Stored.Document)}));
  }
  auto Entry = isEntry(Options, Name);
  if (!Entry.ok())
    return Entry.status();
  if (!*Entry)
    return makeError(error_kind::NotFound,
                     Name + ": neither an upstream nor an entry; see "
                            "'olivevalvectl get upstream' and "
                            "'olivevalvectl nodes'");
  Key.Kind = "node";
  Stored = findObject(*Answer, Key);
  return sendChanges(
      Options, json::array({makePut(Key, Stored, {{"draining", Draining}})}));
}

absl::Status drain(const command_options &Options) {
  return setDraining(Options, true);
}

absl::Status undrain(const command_options &Options) {
  return setDraining(Options, false);
}

/// Asks each control VM for its own state; one without an answer is listed too.
json statusOfEach(const command_options &Options) {
  json All = json::array();
  for (const std::string &Address : Options.Client.Control) {
    operator_client_options OneControl = Options.Client;
    OneControl.Control = {Address};
    OneControl.TimeoutSeconds = 2;
    auto Answer = operator_client(OneControl).get("/v1/status");
    json Row = Answer.ok() ? *Answer : json{{"role", "no answer"}};
    Row["operators"] = Address;
    All.push_back(std::move(Row));
  }
  return All;
}

absl::Status status(const command_options &Options) {
  json All = statusOfEach(Options);
  if (Options.Json)
    printJson(All);
  else
    print(formatTable(All, {{"OPERATORS", "operators"},
                            {"ID", "id"},
                            {"ROLE", "role"},
                            {"MEMBER", "member"},
                            {"DISK FULL", "disk_full"},
                            {"LOSSES BORNE", "losses_borne"},
                            {"LEADER", "leader"},
                            {"TERM", "term"},
                            {"COMMIT", "commit_index"},
                            {"CONFIG", "config_index"}}));
  return absl::OkStatus();
}

/// A control VM with a full disk is silent to the leader, so each is asked.
absl::Status nodes(const command_options &Options) {
  auto Answer = operator_client(Options.Client).get("/v1/nodes");
  if (!Answer.ok())
    return Answer.status();
  json &Nodes = (*Answer)["nodes"];
  for (const json &Control : statusOfEach(Options)) {
    json Row = {{"node", Control["operators"]}, {"role", "control"}};
    for (const char *Field : {"disk_full", "config_index"})
      if (Control.contains(Field))
        Row[Field] = Control[Field];
    Nodes.push_back(std::move(Row));
  }
  if (Options.Json)
    printJson(*Answer);
  else
    print(formatTable(Nodes, {{"NODE", "node"},
                              {"ROLE", "role"},
                              {"DATA HALL", "data_hall"},
                              {"CONFIG", "config_index"},
                              {"LEASE", "lease_seconds"},
                              {"OPEN", "open_requests"},
                              {"DRAINING", "draining"},
                              {"RUNNING", "running"},
                              {"QUEUED", "queued"},
                              {"STOPPING", "stopping"},
                              {"DISK FULL", "disk_full"}}));
  return absl::OkStatus();
}

absl::Status bills(const command_options &Options) {
  return printList(Options, "/v1/bills", "bills",
                   {{"ACCOUNT", "account"},
                    {"MODEL", "model"},
                    {"VERSION", "version"},
                    {"REQUESTS", "requests"},
                    {"INPUT", "input_tokens"},
                    {"CACHED", "cached_tokens"},
                    {"OUTPUT", "output_tokens"},
                    {"COST", "cost"}});
}

absl::Status watch(const command_options &Options) {
  uint64_t LastPrinted = 0;
  for (int Printed = 0; Options.Count == 0 || Printed < Options.Count;) {
    auto Answer = readObjects(Options);
    if (!Answer.ok())
      return Answer.status();
    uint64_t Newest = (*Answer)["index"].get<uint64_t>();
    for (const json &Object : (*Answer)["objects"])
      if (Object["index"].get<uint64_t>() > LastPrinted) {
        ++Printed;
        print(Options.Json
                  ? Object.dump() + "\n"
                  : absl::StrCat(Object["index"].dump(), " ",
                                 Object["kind"].get<std::string>(), "/",
                                 Object["name"].get<std::string>(), "\n"));
      }
    LastPrinted = Newest;
    timespec Pause{0, long(WatchSeconds * 1e9)};
    nanosleep(&Pause, nullptr);
  }
  return absl::OkStatus();
}

absl::Status removeMember(const command_options &Options) {
  json Id = Options.Arguments.size() == 1
                ? parseJsonOrNull(Options.Arguments[0])
                : json();
  if (!Id.is_number_unsigned())
    return usage("remove-member ID");
  auto Answer =
      operator_client(Options.Client).post("/v1/members/remove", {{"id", Id}});
  if (!Answer.ok())
    return Answer.status();
  print("removed control VM " + Options.Arguments[0] + "\n");
  return absl::OkStatus();
}

absl::Status quarantine(const command_options &Options) {
  return printList(Options, "/v1/quarantine", "quarantine",
                   {{"REQUEST", "request"},
                    {"KIND", "kind"},
                    {"UPSTREAMS ENDED", "upstreams_ended"},
                    {"TRIALS", "trials"},
                    {"SINCE S", "since_seconds"},
                    {"LEFT S", "seconds_left"}});
}

absl::Status release(const command_options &Options) {
  if (Options.Arguments.size() != 1)
    return usage("release REQUEST, as 'olivevalvectl quarantine' shows it");
  auto Answer =
      operator_client(Options.Client)
          .post("/v1/quarantine/release", {{"request", Options.Arguments[0]}});
  if (!Answer.ok())
    return Answer.status();
  print("released " + Options.Arguments[0] + "\n");
  return absl::OkStatus();
}

/// True if control has a process or an upstream in the data hall \p Name.
absl::StatusOr<bool> hallExists(const command_options &Options,
                                const std::string &Name) {
  auto Answer = operator_client(Options.Client).get("/v1/halls");
  if (!Answer.ok())
    return Answer.status();
  for (const json &Hall : (*Answer)["halls"])
    if (Hall["data_hall"] == Name)
      return true;
  return false;
}

/// Sends \p Verb, "evacuate" or "restore", for a data hall after checking that
/// it exists.
absl::Status sendHallAction(const command_options &Options,
                            std::string_view Verb) {
  if (Options.Arguments.size() != 1)
    return usage(absl::StrCat(std::string(Verb), " DATA-HALL"));
  const std::string &Name = Options.Arguments[0];
  auto Exists = hallExists(Options, Name);
  if (!Exists.ok())
    return Exists.status();
  if (!*Exists)
    return makeError(error_kind::NotFound,
                     Name + ": no such data hall; see 'olivevalvectl halls'");
  auto Answer = operator_client(Options.Client)
                    .post("/v1/halls/" + std::string(Verb) + "/" + Name, {});
  if (!Answer.ok())
    return Answer.status();
  print(Verb == "evacuate"
            ? Name + ": evacuated; 'olivevalvectl halls' shows when it is "
                     "empty\n"
            : Name + ": restored\n");
  return absl::OkStatus();
}

absl::Status evacuate(const command_options &Options) {
  return sendHallAction(Options, "evacuate");
}

absl::Status restore(const command_options &Options) {
  return sendHallAction(Options, "restore");
}

absl::Status key(const command_options &Options) {
  std::string Secret;
  if (Options.Arguments.empty())
    Secret = "ov-" + hexOf(randomIncarnation()) + hexOf(randomIncarnation());
  else
    Secret = Options.Arguments[0];
  json Out = {{"key", Secret}, {"digest", secretDigest(Secret)}};
  if (Options.Json)
    printJson(Out);
  else
    print("key    " + Secret + "\ndigest " + secretDigest(Secret) + "\n");
  return absl::OkStatus();
}

// Creates a file that only its owner can read; an existing one is an error.
absl::Status writePrivate(const std::string &Path, const std::string &Text) {
  int File = open(Path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  bool Good = File >= 0 &&
              write(File, Text.data(), Text.size()) == ssize_t(Text.size());
  if (File >= 0)
    close(File);
  return Good ? absl::OkStatus()
              : makeError(error_kind::BadRequest,
                          Path + ": cannot be written or already exists");
}

absl::Status linkKeys(const command_options &Options) {
  if (Options.Arguments.size() != 1)
    return usage("link-keys PREFIX");
  std::array<char, 41> Public{};
  std::array<char, 41> Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    return makeError(error_kind::BadRequest,
                     "the ZeroMQ library has no CURVE support");
  const std::string &Prefix = Options.Arguments[0];
  absl::Status Status =
      writePrivate(Prefix + ".public", std::string(Public.data()) + "\n");
  if (Status.ok())
    Status =
        writePrivate(Prefix + ".secret", std::string(Secret.data()) + "\n");
  return Status;
}

} // namespace

const std::vector<command_entry> &commandTable() {
  static const std::vector<command_entry> Table = {
      {"apply", "-f FILE", "Create or update the objects in FILE", apply},
      {"diff", "-f FILE", "Show what apply would change", diff},
      {"check", "-f FILE", "Validate FILE without contacting control", check},
      {"get", "[KIND [NAME]]",
       "Show objects with their indexes; 'get halls' equals the command halls",
       get},
      {"set", "KIND NAME FIELD=VALUE...",
       "Set fields of a template, account or other object", set},
      {"delete", "KIND NAME", "Delete an object", remove},
      {"version", "roll-out|pause|resume|activate|withdraw MODEL@VERSION",
       "Roll out, pause, resume, activate or withdraw a version", version},
      {"versions", "", "Show versions with their ratings and roll-out state",
       versions},
      {"rollout", "SERVICE",
       "Show the roll-out of a service's software and what was last decided",
       rollout},
      {"drain", "UPSTREAM|ENTRY",
       "Send no new requests to an upstream, or make an entry report not ready",
       drain},
      {"undrain", "UPSTREAM|ENTRY", "Undo drain", undrain},
      {"status", "", "Show the state of each control VM", status},
      {"nodes", "", "Show entries, sidecars and control VMs", nodes},
      {"bills", "", "Show billed totals by account, model and version", bills},
      {"watch", "[--count N]", "Print objects as they change", watch},
      {"remove-member", "ID", "Remove a control VM from the group",
       removeMember},
      {"quarantine", "",
       "Show quarantined requests: upstreams crashed while processing them",
       quarantine},
      {"release", "REQUEST", "Release a request from quarantine", release},
      {"halls", "",
       "Show data halls and what is still running in evacuated ones", halls},
      {"evacuate", "DATA-HALL",
       "Send no new requests to a data hall; requests in flight finish",
       evacuate},
      {"restore", "DATA-HALL", "Undo evacuate", restore},
      {"duties", "",
       "Show who makes the calls of one process, and which usage was reported",
       duties},
      {"key", "[SECRET]",
       "Generate a client or operator key, or use SECRET, and print its digest",
       key},
      {"link-keys", "PREFIX",
       "Generate the key pair for links: PREFIX.public and PREFIX.secret",
       linkKeys},
  };
  return Table;
}

int exitCodeFor(const absl::Status &Status) {
  switch (kindOf(Status)) {
  case error_kind::None:
    return 0;
  case error_kind::BadRequest:
    return 2;
  case error_kind::Conflict:
    return 3;
  case error_kind::NoQuorum:
    return 4;
  default:
    return 1;
  }
}

} // namespace olivevalve
