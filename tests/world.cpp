//===- world.cpp - Test environment with real processes -------------------===//

#include "tests/world.h"
#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace olivevalve {

reserved_address::reserved_address() {
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto *Raw = reinterpret_cast<sockaddr *>(&Where);
  if (bind(Socket, Raw, sizeof(Where)) != 0)
    std::abort();
  socklen_t Size = sizeof(Where);
  getsockname(Socket, Raw, &Size);
  Text = "127.0.0.1:" + std::to_string(ntohs(Where.sin_port));
}

reserved_address::~reserved_address() { close(Socket); }

std::string client_response::header(const std::string &Name) const {
  auto It = Headers.find(Name);
  return It == Headers.end() ? "" : It->second;
}

std::string chatBody(const std::string &Model, const std::string &Prompt,
                     bool Stream) {
  return json({{"model", Model},
               {"stream", Stream},
               {"messages", {{{"role", "user"}, {"content", Prompt}}}}})
      .dump();
}

client_request booking(const std::string &Key, int Milliseconds) {
  return {.Path = "/ledger/assignments",
          .Body = "{\"note\":\"first=" + std::to_string(Milliseconds) + "\"}",
          .Headers = {"Idempotency-Key: " + Key}};
}

json modelWithVersionStates(const std::string &State1,
                            const std::string &State2) {
  return {
      {"versions",
       {{"1", {{"state", State1}, {"input_price", 1}, {"output_price", 2}}},
        {"2", {{"state", State2}, {"input_price", 1}, {"output_price", 2}}}}}};
}

uint64_t bookingRuns(const json &Counts, const std::string &Key) {
  return Counts["runs"].value("service " + Key, uint64_t(0));
}

daemon_process::daemon_process(std::string NewName, std::string NewFolder,
                               json NewSettings)
    : Name(std::move(NewName)), Folder(std::move(NewFolder)),
      Settings(std::move(NewSettings)) {}

daemon_process::~daemon_process() { kill(); }

void daemon_process::start() {
  std::string Path = Folder + "/" + Name + ".json";
  std::string Log = Folder + "/" + Name + ".log";
  std::ofstream(Path) << Settings.dump(2);
  Pid = fork();
  if (Pid != 0)
    return;
  int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  execl(OLIVEVALVED, "olivevalved", "--settings", Path.c_str(), nullptr);
  _exit(127);
}

void daemon_process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

bool daemon_process::handles(int Number) const {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  uint64_t Handled = 0;
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("SigIgn:") || Line.starts_with("SigCgt:"))
      Handled |= std::stoull(Line.substr(Line.find('\t') + 1), nullptr, 16);
  return (Handled >> (Number - 1) & 1) != 0;
}

void daemon_process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = -1;
}

bool daemon_process::running() {
  if (Pid <= 0)
    return false;
  int Status = 0;
  if (waitpid(Pid, &Status, WNOHANG) == 0)
    return true;
  ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  Pid = -1;
  return false;
}

std::string daemon_process::logText() const {
  std::ifstream File(Folder + "/" + Name + ".log");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

world::world() : Loop(ev_loop_new(0)) {
  std::signal(SIGPIPE, SIG_IGN);
  Http = std::make_unique<http_client>(Loop);
  Ratings = std::make_unique<stand_in>(Loop, stand_in_options{});
  Ratings->bind();
}

world::~world() {
  for (auto &[Name, Node] : Entries)
    Node->Process->kill();
  for (auto &[Name, Node] : Sidecars)
    Node->Process->kill();
  for (auto &Node : Control)
    Node->Process->kill();
  Entries.clear();
  Sidecars.clear();
  Control.clear();
  Ratings.reset();
  Http.reset();
  ev_loop_destroy(Loop);
}

void world::until(const std::string &What,
                  const std::function<bool()> &Condition, double Seconds) {
  double End = steadySeconds() + Seconds;
  timer Tick(Loop, [] {});
  Tick.startRepeating(0.01);
  while (!Condition()) {
    if (steadySeconds() > End) {
      for (auto &Node : Control)
        BOOST_TEST_MESSAGE(Node->Process->logText());
      for (auto &[Name, Node] : Entries)
        BOOST_TEST_MESSAGE(Node->Process->logText());
      for (auto &[Name, Node] : Sidecars)
        BOOST_TEST_MESSAGE(Node->Process->logText());
    }
    BOOST_REQUIRE_MESSAGE(steadySeconds() <= End,
                          "timed out after " << Seconds << " s: " << What);
    ev_run(Loop, EVRUN_ONCE);
  }
}

void world::run(double Seconds) {
  double End = steadySeconds() + Seconds;
  until(
      "time has passed", [&] { return steadySeconds() >= End; }, Seconds + 10);
}

std::shared_ptr<client_response> world::begin(const std::string &Address,
                                              client_request Request) {
  auto Answer = std::make_shared<client_response>();
  fetch_options Fetch;
  Fetch.Method = Request.Method;
  Fetch.Url = "http://" + Address + Request.Path;
  Fetch.Body = Request.Body;
  Fetch.Headers = Request.Headers;
  Fetch.Headers.push_back("Content-Type: application/json");
  if (!Request.Key.empty())
    Fetch.Headers.push_back("Authorization: Bearer " + Request.Key);
  Fetch.TimeoutSeconds = Request.Seconds;
  Fetch.OnHeader = [Answer](std::string_view Line) {
    size_t Colon = Line.find(": ");
    if (Colon == std::string_view::npos)
      return;
    std::string Name(Line.substr(0, Colon));
    std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
    std::string Value(Line.substr(Colon + 2));
    while (!Value.empty() && std::isspace(uint8_t(Value.back())))
      Value.pop_back();
    Answer->Headers[Name] = Value;
  };
  Fetch.OnBytes = [Answer](std::string_view Bytes) {
    Answer->Body.append(Bytes);
    return true;
  };
  Fetch.OnDone = [Answer](const fetch_result &Result) {
    Answer->Done = true;
    Answer->Status = Result.Status;
    Answer->Error = Result.Error;
  };
  Http->start(std::move(Fetch));
  return Answer;
}

client_response world::call(const std::string &Address,
                            client_request Request) {
  double Seconds = Request.Seconds;
  auto Answer = begin(Address, std::move(Request));
  until(
      "a response", [&] { return Answer->Done; }, Seconds + 5);
  return *Answer;
}

client_response world::ask(const std::string &Address, client_request Request) {
  client_response Answer;
  double End = steadySeconds() + Request.Seconds;
  do {
    Answer = call(Address, Request);
    bool Again = Answer.outcome() == "not-run" && Answer.Status == 503;
    if (!Again)
      return Answer;
    run(0.1);
  } while (steadySeconds() < End);
  return Answer;
}

json world::operators(const std::string &Method, const std::string &Path,
                      const json &Body, double Seconds) {
  double End = steadySeconds() + Seconds;
  for (size_t Turn = 0; steadySeconds() < End; ++Turn) {
    control_node &Node = *Control[Turn % Control.size()];
    client_response Answer =
        call(Node.Operators.text(),
             {.Method = Method,
              .Path = Path,
              .Body = Method == "GET" ? "" : Body.dump(),
              .Key = "",
              .Seconds = std::min(12.0, End - steadySeconds() + 0.1)});
    json Value = json::parse(Answer.Body, nullptr, false);
    bool Again = Answer.Status == 0 || Answer.Status == 503;
    if (!Again) {
      Value["http_status"] = Answer.Status;
      return Value;
    }
    run(0.05);
  }
  return {};
}

json world::apply(const json &Config, double Seconds) {
  json Changes = json::array();
  for (const auto &[Kinds, Objects] : Config.items())
    for (const auto &[Name, Document] : Objects.items())
      Changes.push_back({{"kind", Kinds.substr(0, Kinds.size() - 1)},
                         {"name", Name},
                         {"document", Document}});
  return operators("POST", "/v1/changes",
                   {{"change_id", "test-" + std::to_string(NextChange++)},
                    {"changes", Changes}},
                   Seconds);
}

json world::putObject(const std::string &Kind, const std::string &Name,
                      const json &Document, double Seconds) {
  return apply({{Kind + "s", {{Name, Document}}}}, Seconds);
}

json world::membersFor(const std::string &User) {
  json Members = json::array();
  for (auto &Node : Control) {
    auto &Path = Node->Paths[User];
    if (!Path)
      Path = std::make_unique<proxy>(Loop, Node->Address.text());
    Members.push_back({{"id", Node->Id}, {"address", Path->address()}});
  }
  return Members;
}

json world::controlSettings(control_node &Node) {
  std::string Name = "control-" + std::to_string(Node.Id);
  json Members = membersFor(Name);
  Members[Node.Id - 1]["address"] = Node.Address.text();
  json Settings = {{"node", Name},
                   {"data_hall", "charguia"},
                   {"control_members", Members},
                   {"control",
                    {{"id", Node.Id},
                     {"operator_address", Node.Operators.text()},
                     {"data_folder", Node.Folder}}}};
  Settings.update(ExtraSettings);
  return Settings;
}

void world::startControl(size_t Count) {
  for (size_t I = 0; I < Count; ++I) {
    auto Node = std::make_unique<control_node>();
    Node->Id = I + 1;
    Node->Folder = Folder.path() + "/data-" + std::to_string(I + 1);
    Control.push_back(std::move(Node));
  }
  for (auto &Node : Control) {
    Node->Process =
        std::make_unique<daemon_process>("control-" + std::to_string(Node->Id),
                                         Folder.path(), controlSettings(*Node));
    Node->Process->start();
  }
  untilAllAreVoters();
}

json world::statusOf(const control_node &Node) {
  client_response Answer =
      call(Node.Operators.text(),
           {.Method = "GET", .Path = "/v1/status", .Key = "", .Seconds = 2});
  json Status = json::parse(Answer.Body, nullptr, false);
  return Status.is_object() ? Status : json::object();
}

// The leader's member list alone is not enough: a VM that lost its disk is
// listed as a voter until it requests to join with its new disk.
bool world::allAreVoters() {
  for (auto &Node : Control)
    if (!statusOf(*Node).value("member", false))
      return false;
  json Status = statusOf(leader());
  json Members = Status.value("members", json::array());
  return Status.value("members_settled", false) &&
         Members.size() == Control.size() &&
         std::all_of(Members.begin(), Members.end(),
                     [](const json &M) { return M["voter"] == true; });
}

void world::untilAllAreVoters() {
  until("all control VMs are voters", [&] { return allAreVoters(); });
}

entry_node &world::startEntry(const std::string &Name,
                              const std::string &DataHall) {
  auto &Node = Entries[Name];
  Node = std::make_unique<entry_node>();
  json Settings = {{"node", Name},
                   {"data_hall", DataHall},
                   {"health_address", Node->Health.text()},
                   {"control_members", membersFor(Name)},
                   {"entry",
                    {{"address", Node->Address.text()},
                     {"rating_url", "http://" + Ratings->address()}}}};
  Settings["entry"].update(EntrySettings);
  Settings.update(ExtraSettings);
  Node->Process =
      std::make_unique<daemon_process>(Name, Folder.path(), Settings);
  Node->Process->start();
  return *Node;
}

sidecar_node &world::startSidecar(const std::string &Upstream,
                                  const std::string &DataHall) {
  auto &Node = Sidecars[Upstream];
  Node = std::make_unique<sidecar_node>();
  Node->Upstream = Upstream;
  Node->Path = std::make_unique<proxy>(Loop, Node->Address.text());
  Node->Engine = std::make_unique<stand_in>(Loop, stand_in_options{});
  Node->Engine->bind();
  std::string Name = "sidecar-" + Upstream;
  json Settings = {{"node", Name},
                   {"data_hall", DataHall},
                   {"health_address", Node->Health.text()},
                   {"control_members", membersFor(Name)},
                   {"sidecar",
                    {{"address", Node->Address.text()},
                     {"upstream", Upstream},
                     {"engine_url", "http://" + Node->Engine->address()}}}};
  Settings.update(ExtraSettings);
  Node->Process =
      std::make_unique<daemon_process>(Name, Folder.path(), Settings);
  Node->Process->start();
  return *Node;
}

json world::defaultConfig() {
  json Versions = {{"1", {{"input_price", 1}, {"output_price", 2}}},
                   {"2", {{"input_price", 1}, {"output_price", 2}}}};
  json Dispatch = {
      // BLAKE2b of "demo-dispatch".
      {"key_digests",
       {"8636848d98db4b818d5867459be7dc6a435aeaa35e63b1ad4b10a308d3d1ce54"}},
      {"models", {"olive-llm"}},
      {"services", {"ledger"}},
      {"requests_per_second", 10000},
      {"concurrent", 10000}};
  auto Model = [&](const std::string &Name) {
    return json{{"address", Sidecars[Name]->Path->address()},
                {"data_hall", "charguia"},
                {"versions", {"olive-llm@1", "olive-llm@2"}},
                {"slots", 64}};
  };
  return {{"models", {{"olive-llm", {{"versions", Versions}}}}},
          {"templates",
           {{"plan",
             {{"candidates", {"olive-llm"}},
              {"policy", {{"kind", "split"}, {"weights", {1}}}}}}}},
          {"services", {{"ledger", {{"path_prefix", "/ledger/"}}}}},
          {"accounts", {{"dispatch", Dispatch}}},
          {"upstreams",
           {{"a", Model("a")},
            {"b", Model("b")},
            {"led",
             {{"address", Sidecars["led"]->Path->address()},
              {"data_hall", "charguia"},
              {"service", "ledger"},
              {"slots", 64}}}}}};
}

void world::startDefaultSystem(size_t ControlCount) {
  startControl(ControlCount);
  for (const char *Name : {"a", "b", "led"})
    startSidecar(Name);
  for (const char *Name : {"entry-1", "entry-2"})
    startEntry(Name);
  json Applied = apply(defaultConfig(), 30);
  BOOST_REQUIRE_MESSAGE(Applied.value("in_force", false), Applied.dump());
  for (auto &[Name, Node] : Entries)
    untilReady(Node->Health);
  for (auto &[Name, Node] : Sidecars)
    untilReady(Node->Health);
  // An entry serves requests only once its upstreams have reported their state.
  for (auto &[Name, Node] : Entries) {
    client_response Answer =
        ask(Node->Address.text(), {.Body = chatBody("plan", "warm up")});
    BOOST_REQUIRE_MESSAGE(Answer.Status == 200, Answer.Body);
    Answer =
        ask(Node->Address.text(), {.Method = "GET", .Path = "/ledger/warm-up"});
    BOOST_REQUIRE_MESSAGE(Answer.Status == 200, Answer.Body);
  }
}

ctl_result world::ctl(const std::vector<std::string> &Arguments) {
  std::string Addresses;
  for (auto &Node : Control)
    Addresses += (Addresses.empty() ? "" : ",") + Node->Operators.text();
  std::vector<std::string> Words = {"olivevalvectl", "-c", Addresses};
  Words.insert(Words.end(), Arguments.begin(), Arguments.end());
  std::vector<char *> Raw;
  for (std::string &Word : Words)
    Raw.push_back(Word.data());
  Raw.push_back(nullptr);
  std::string Path = Folder.path() + "/ctl.out";
  pid_t Pid = fork();
  if (Pid == 0) {
    int File = open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(File, STDOUT_FILENO);
    dup2(File, STDERR_FILENO);
    execv(OLIVEVALVECTL, Raw.data());
    _exit(127);
  }
  // The event loop has to run meanwhile because the proxies run in it.
  int Status = 0;
  until("olivevalvectl exits",
        [&] { return waitpid(Pid, &Status, WNOHANG) == Pid; });
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return {WIFEXITED(Status) ? WEXITSTATUS(Status) : -1, Text.str()};
}

void world::untilReady(const reserved_address &Health) {
  until("a node is ready", [&] { return ready(Health); });
}

bool world::ready(const reserved_address &Health) {
  return call(Health.text(),
              {.Method = "GET", .Path = "/readyz", .Key = "", .Seconds = 2})
             .Status == 200;
}

json world::configureEngine(const stand_in &Engine, const json &Body) {
  client_response Answer =
      call(Engine.address(), {.Method = "PUT",
                              .Path = "/stand-in",
                              .Body = Body.is_null() ? "{}" : Body.dump()});
  return json::parse(Answer.Body, nullptr, false);
}

json world::engineCounts(const sidecar_node &Sidecar) {
  return configureEngine(*Sidecar.Engine, {});
}

control_node &world::leader() {
  control_node *Found = nullptr;
  until("a leader", [&] {
    for (auto &Node : Control) {
      if (!Node->Process->running())
        continue;
      if (statusOf(*Node).value("leads", false))
        Found = Node.get();
    }
    return Found != nullptr;
  });
  return *Found;
}

void world::isolateControl(control_node &Node, proxy_fault Fault) {
  for (auto &[User, Path] : Node.Paths)
    Path->set(Fault);
  isolateNode("control-" + std::to_string(Node.Id), Fault);
}

void world::isolateNode(const std::string &Name, proxy_fault Fault) {
  for (auto &Node : Control) {
    auto It = Node->Paths.find(Name);
    if (It != Node->Paths.end())
      It->second->set(Fault);
  }
}

} // namespace olivevalve
