//===- world.h - Real processes with faults between them --------*- C++ -*-===//
//
// Starts olivevalved processes on loopback with a fault-injecting proxy on
// every path, stand-ins in this process, and an HTTP client. Waits are bounded
// and on conditions.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_WORLD_H
#define OLIVEVALVE_TESTS_WORLD_H

#include "net/http_client.h"
#include "tests/proxy.h"
#include "tests/stand_in.h"
#include "tests/temporary_folder.h"
#include <csignal>
#include <map>
#include <memory>
#include <sys/types.h>

namespace olivevalve {

/// An address kept for one process: bound here, never listened on.
class reserved_address {
public:
  reserved_address();
  ~reserved_address();
  reserved_address(const reserved_address &) = delete;
  reserved_address &operator=(const reserved_address &) = delete;
  const std::string &text() const { return Text; }

private:
  int Socket = -1;
  std::string Text;
};

/// What a caller got.
struct caller_answer {
  bool Done = false;
  int Status = 0;
  std::string Error; ///< Of the transport; a broken stream has one.
  std::string Body;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string outcome() const { return header("x-olivevalve-outcome"); }
  std::string version() const { return header("x-olivevalve-version"); }
  std::string upstream() const { return header("x-olivevalve-upstream"); }
  std::string header(const std::string &Name) const;
};

/// What a caller asks.
struct caller_request {
  std::string Method = "POST";
  std::string Path = "/v1/chat/completions";
  std::string Body;
  std::string Key = "demo-dispatch";
  std::vector<std::string> Headers;
  double Seconds = 30;
};

/// A chat request's body.
std::string chatBody(const std::string &Model, const std::string &Prompt,
                     bool Stream = false);

/// What the operators' client printed, and how it ended.
struct ctl_result {
  int ExitCode = -1;
  std::string Text;
};

/// A booking at the plain service that takes so long.
caller_request booking(const std::string &Key, int Milliseconds = 0);

/// Model olive-llm with the states of its versions 1 and 2.
json modelWith(const std::string &State1, const std::string &State2);

/// Runs of a booking at the stand-in service, from its counts.
uint64_t runsOf(const json &Counts, const std::string &Key);

class daemon_process {
public:
  daemon_process(std::string Name, std::string Folder, json Settings);
  ~daemon_process();
  daemon_process(const daemon_process &) = delete;
  daemon_process &operator=(const daemon_process &) = delete;
  void start();
  void signal(int Number) const;
  /// The program has taken the signal over, so that it does not end it by
  /// default. A process does so as its first step, some 0.01 s after start().
  bool handles(int Number) const;
  /// Kills and reaps.
  void kill();
  bool running();
  int exitCode() const { return ExitCode; }
  const std::string &name() const { return Name; }
  std::string logText() const;
  pid_t pid() const { return Pid; }

private:
  std::string Name;
  std::string Folder;
  json Settings;
  pid_t Pid = -1;
  int ExitCode = -1;
};

struct control_node {
  uint64_t Id = 0;
  reserved_address Address;
  reserved_address Operators;
  std::string Folder;
  std::unique_ptr<daemon_process> Process;
  /// Paths to this VM, by who uses them: "control-2", "entry-1", ...
  std::map<std::string, std::unique_ptr<proxy>> Paths;
};

struct entry_node {
  reserved_address Address;
  reserved_address Health;
  std::unique_ptr<daemon_process> Process;
};

struct sidecar_node {
  std::string Upstream;
  reserved_address Address;
  reserved_address Health;
  std::unique_ptr<proxy> Path; ///< Entries come through it.
  std::unique_ptr<stand_in> Engine;
  std::unique_ptr<daemon_process> Process;
};

class world {
public:
  world();
  ~world();
  world(const world &) = delete;
  world &operator=(const world &) = delete;

  void startControl(size_t Count);
  entry_node &startEntry(const std::string &Name,
                         const std::string &DataHall = "charguia");
  /// Starts a stand-in engine or service and its sidecar.
  sidecar_node &startSidecar(const std::string &Upstream,
                             const std::string &DataHall = "charguia");
  /// Usual set: control VMs, two entries, sidecars a, b (olive-llm@1, @2) and
  /// led (service ledger), configured and ready.
  void startUsual(size_t ControlCount = 3);
  json usualConfig();
  /// Applies objects {"models": {...}, ...}; the answer of control.
  json apply(const json &Config, double Seconds = 20);
  json putObject(const std::string &Kind, const std::string &Name,
                 const json &Document, double Seconds = 20);

  /// Runs the loop until \p Condition holds; fails the test after \p Seconds.
  void until(const std::string &What, const std::function<bool()> &Condition,
             double Seconds = 30);
  void run(double Seconds);
  std::shared_ptr<caller_answer> begin(const std::string &Address,
                                       caller_request Request);
  caller_answer call(const std::string &Address, caller_request Request);
  caller_answer ask(const std::string &Address, caller_request Request);
  /// Calls control, following the leader; null if none answers.
  json operators(const std::string &Method, const std::string &Path,
                 const json &Body = {}, double Seconds = 20);
  /// Runs olivevalvectl against all control VMs.
  ctl_result ctl(const std::vector<std::string> &Arguments);
  json engineCounts(const sidecar_node &Sidecar);
  json steerEngine(const stand_in &Engine, const json &Body);
  bool ready(const reserved_address &Health);
  void untilReady(const reserved_address &Health);
  control_node &leader();
  /// What a control VM says of itself; empty if it does not answer.
  json statusOf(const control_node &Node);
  bool allVote();
  void untilAllVote();
  /// Sets a fault on every path to a control VM, and from it to the others.
  void isolateControl(control_node &Node, proxy_fault Fault);
  /// On the paths of one node to all control VMs.
  void isolateNode(const std::string &Name, proxy_fault Fault);

  /// Added to the settings of every process started from now on.
  json ExtraSettings = json::object();
  /// Added to the settings of the entry role.
  json EntrySettings = json::object();
  struct ev_loop *Loop;
  temporary_folder Folder;
  std::vector<std::unique_ptr<control_node>> Control;
  std::map<std::string, std::unique_ptr<entry_node>> Entries;
  std::map<std::string, std::unique_ptr<sidecar_node>> Sidecars;
  std::unique_ptr<stand_in> Ratings;

private:
  json membersFor(const std::string &User);
  json controlSettings(control_node &Node);
  uint64_t NextChange = 1;
  std::unique_ptr<http_client> Http;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_WORLD_H
