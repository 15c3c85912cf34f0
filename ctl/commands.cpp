//===- commands.cpp - What olivevalvectl can do ---------------------------===//

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

constexpr double WatchSeconds = 0.5;

absl::Status usage(std::string_view Text) {
  return makeError(error_kind::BadRequest, Text);
}

void print(const std::string &Text) {
  std::fwrite(Text.data(), 1, Text.size(), stdout);
  std::fflush(stdout);
}

void printJson(const json &Value) { print(Value.dump(2) + "\n"); }

/// The list in an answer as a table, or the answer as JSON.
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

/// Sends changes under one id and says when they are in force.
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
    print(absl::StrCat("in force at index ", (*Answer)["index"].dump(),
                       " after ", (*Answer)["seconds"].dump(), " s\n"));
  return absl::OkStatus();
}

absl::StatusOr<json> readObjects(const command_options &Options) {
  return operator_client(Options.Client).get("/v1/objects");
}

struct present_object {
  uint64_t Index = 0;
  json Document;
};

present_object findObject(const json &Answer, const object_key &Key) {
  for (const json &Object : Answer["objects"])
    if (Object["kind"] == Key.Kind && Object["name"] == Key.Name)
      return {Object["index"].get<uint64_t>(), Object["document"]};
  return {};
}

json makePut(const object_key &Key, const present_object &Present,
             const json &Document) {
  return {{"kind", Key.Kind},
          {"name", Key.Name},
          {"expected_index", Present.Index},
          {"document", Document}};
}

/// What a file would change, as a list of puts.
absl::StatusOr<json> changesOfFile(const command_options &Options) {
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
    present_object Present = findObject(*Answer, Object.Key);
    if (Present.Index == 0 || Present.Document != Object.Document)
      Changes.push_back(makePut(Object.Key, Present, Object.Document));
  }
  return Changes;
}

absl::Status apply(const command_options &Options) {
  auto Changes = changesOfFile(Options);
  if (!Changes.ok())
    return Changes.status();
  if (Changes->empty()) {
    print("nothing to change\n");
    return absl::OkStatus();
  }
  return sendChanges(Options, *Changes);
}

absl::Status diff(const command_options &Options) {
  auto Changes = changesOfFile(Options);
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
  print(absl::StrCat(Options.File, ": good; ", File->Objects.size(),
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
  present_object Present = findObject(*Answer, Key);
  if (Present.Index == 0)
    return makeError(error_kind::NotFound, Key.text() + ": does not exist");
  return sendChanges(Options, json::array({{{"kind", Key.Kind},
                                            {"name", Key.Name},
                                            {"expected_index", Present.Index},
                                            {"delete", true}}}));
}

/// Reads an object, lets \p Edit change its document, and writes it back only
/// if nobody else has changed it meanwhile.
template <typename Function>
absl::Status editObject(const command_options &Options, const object_key &Key,
                        Function Edit) {
  auto Answer = readObjects(Options);
  if (!Answer.ok())
    return Answer.status();
  present_object Present = findObject(*Answer, Key);
  if (Present.Index == 0)
    return makeError(error_kind::NotFound, Key.text() + ": does not exist");
  if (absl::Status Status = Edit(Present.Document); !Status.ok())
    return Status;
  return sendChanges(Options,
                     json::array({makePut(Key, Present, Present.Document)}));
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
      json Parsed = json::parse(Value, nullptr, false);
      Document[json::json_pointer(Pointer)] =
          Parsed.is_discarded() ? json(Value) : Parsed;
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
  const action *Wanted = nullptr;
  for (const action &Each : Actions)
    if (!Options.Arguments.empty() && Options.Arguments[0] == Each.Name)
      Wanted = &Each;
  if (!Wanted || Options.Arguments.size() != 2)
    return usage("version roll-out|pause|resume|activate|withdraw "
                 "MODEL@VERSION");
  version_name Name = parseVersionName(Options.Arguments[1]);
  return editObject(
      Options, {"model", Name.Model}, [&](json &Document) -> absl::Status {
        if (!Document["versions"].contains(Name.Version))
          return makeError(error_kind::NotFound,
                           Name.text() + ": does not exist");
        json &Version = Document["versions"][Name.Version];
        Version["state"] = nameOf(Wanted->State);
        // The operator overrules the guard.
        bool Anew = Wanted->Name == "roll-out" || Wanted->Name == "activate";
        if (Anew)
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

/// True if a process called \p Name holds or held a lease as an entry.
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

/// An upstream takes no new work; an entry is no longer ready, and serves on
/// what still comes until the balancer has noticed.
absl::Status setDraining(const command_options &Options, bool Draining) {
  if (Options.Arguments.size() != 1)
    return usage("drain|undrain UPSTREAM|ENTRY");
  const std::string &Name = Options.Arguments[0];
  auto Answer = readObjects(Options);
  if (!Answer.ok())
    return Answer.status();
  object_key Key{"upstream", Name};
  present_object Present = findObject(*Answer, Key);
  if (Present.Index != 0) {
    Present.Document["leaving"] = Draining;
    return sendChanges(Options,
                       json::array({makePut(Key, Present, Present.Document)}));
  }
  auto Entry = isEntry(Options, Name);
  if (!Entry.ok())
    return Entry.status();
  if (!*Entry)
    return makeError(error_kind::NotFound,
                     Name + ": is no upstream and no entry; see "
                            "'olivevalvectl get upstream' and 'nodes'");
  Key.Kind = "node";
  Present = findObject(*Answer, Key);
  return sendChanges(
      Options, json::array({makePut(Key, Present, {{"draining", Draining}})}));
}

absl::Status drain(const command_options &Options) {
  return setDraining(Options, true);
}

absl::Status undrain(const command_options &Options) {
  return setDraining(Options, false);
}

absl::Status status(const command_options &Options) {
  json All = json::array();
  for (const std::string &Address : Options.Client.Control) {
    operator_client_options One = Options.Client;
    One.Control = {Address};
    One.TimeoutSeconds = 2;
    auto Answer = operator_client(One).get("/v1/status");
    json Row = Answer.ok() ? *Answer : json{{"role", "no answer"}};
    Row["operators"] = Address;
    All.push_back(std::move(Row));
  }
  if (Options.Json)
    printJson(All);
  else
    print(formatTable(All, {{"OPERATORS", "operators"},
                            {"ID", "id"},
                            {"ROLE", "role"},
                            {"MEMBER", "member"},
                            {"LEADER", "leader"},
                            {"TERM", "term"},
                            {"COMMIT", "commit_index"},
                            {"CONFIG", "config_index"}}));
  return absl::OkStatus();
}

absl::Status nodes(const command_options &Options) {
  return printList(Options, "/v1/nodes", "nodes",
                   {{"NODE", "node"},
                    {"ROLE", "role"},
                    {"DATA HALL", "data_hall"},
                    {"CONFIG", "config_index"},
                    {"LEASE", "lease_seconds"},
                    {"OPEN", "open_requests"},
                    {"DRAINING", "draining"},
                    {"RUNNING", "running"},
                    {"QUEUED", "queued"},
                    {"STOPPING", "stopping"}});
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
  uint64_t Seen = 0;
  for (int Printed = 0; Options.Count == 0 || Printed < Options.Count;) {
    auto Answer = readObjects(Options);
    if (!Answer.ok())
      return Answer.status();
    uint64_t Newest = (*Answer)["index"].get<uint64_t>();
    for (const json &Object : (*Answer)["objects"])
      if (Object["index"].get<uint64_t>() > Seen) {
        ++Printed;
        print(Options.Json
                  ? Object.dump() + "\n"
                  : absl::StrCat(Object["index"].dump(), " ",
                                 Object["kind"].get<std::string>(), "/",
                                 Object["name"].get<std::string>(), "\n"));
      }
    Seen = Newest;
    timespec Pause{0, long(WatchSeconds * 1e9)};
    nanosleep(&Pause, nullptr);
  }
  return absl::OkStatus();
}

absl::Status removeMember(const command_options &Options) {
  json Id = Options.Arguments.size() == 1
                ? json::parse(Options.Arguments[0], nullptr, false)
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
                    {"UPSTREAMS ENDED", "upstreams_ended"},
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

/// True if a process or an upstream of this data hall is known.
absl::StatusOr<bool> isHall(const command_options &Options,
                            const std::string &Name) {
  auto Answer = operator_client(Options.Client).get("/v1/halls");
  if (!Answer.ok())
    return Answer.status();
  for (const json &Hall : (*Answer)["halls"])
    if (Hall["data_hall"] == Name)
      return true;
  return false;
}

/// Evacuates a data hall, or restores it, if its name is one.
absl::Status moveHall(const command_options &Options, std::string_view Verb) {
  if (Options.Arguments.size() != 1)
    return usage(absl::StrCat(std::string(Verb), " DATA-HALL"));
  const std::string &Name = Options.Arguments[0];
  auto Known = isHall(Options, Name);
  if (!Known.ok())
    return Known.status();
  if (!*Known)
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
  return moveHall(Options, "evacuate");
}

absl::Status restore(const command_options &Options) {
  return moveHall(Options, "restore");
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

absl::Status writePrivate(const std::string &Path, const std::string &Text) {
  int File = open(Path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  bool Good = File >= 0 &&
              write(File, Text.data(), Text.size()) == ssize_t(Text.size());
  if (File >= 0)
    close(File);
  return Good ? absl::OkStatus()
              : makeError(error_kind::BadRequest,
                          Path + ": cannot be written, or exists");
}

absl::Status linkKeys(const command_options &Options) {
  if (Options.Arguments.size() != 1)
    return usage("link-keys PREFIX");
  std::array<char, 41> Public{};
  std::array<char, 41> Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    return makeError(error_kind::BadRequest, "no CURVE in this ZeroMQ");
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
      {"apply", "-f FILE", "Make the objects of FILE what is in force", apply},
      {"diff", "-f FILE", "Show what apply would change", diff},
      {"check", "-f FILE", "Check FILE without any control VM", check},
      {"get", "[KIND [NAME]]",
       "Show objects with their indexes; KIND halls: as the command halls",
       get},
      {"set", "KIND NAME FIELD=VALUE...",
       "Set parameters of a template, account or other object", set},
      {"delete", "KIND NAME", "Delete an object", remove},
      {"version", "roll-out|pause|resume|activate|withdraw MODEL@VERSION",
       "Roll a version in or out", version},
      {"versions", "", "Show versions, their ratings and roll-outs", versions},
      {"drain", "UPSTREAM|ENTRY",
       "Let an upstream take no new work, or the balancer pass an entry by",
       drain},
      {"undrain", "UPSTREAM|ENTRY", "Take a drain back", undrain},
      {"status", "", "Show the control VMs", status},
      {"nodes", "", "Show entries and sidecars with their leases", nodes},
      {"bills", "", "Show totals by account, model and version", bills},
      {"watch", "[--count N]", "Print objects as they change", watch},
      {"remove-member", "ID", "Take a control VM out of the group",
       removeMember},
      {"quarantine", "",
       "Show requests that go to no upstream, as upstreams ended under them",
       quarantine},
      {"release", "REQUEST", "Let a request out of quarantine", release},
      {"halls", "", "Show data halls, and what still runs in evacuated ones",
       halls},
      {"evacuate", "DATA-HALL",
       "Let upstreams of a data hall take nothing new, what runs there ends",
       evacuate},
      {"restore", "DATA-HALL", "Take an evacuation back", restore},
      {"key", "[SECRET]", "Make a client's or operator's key and its digest",
       key},
      {"link-keys", "PREFIX", "Write a key pair for links between processes",
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
