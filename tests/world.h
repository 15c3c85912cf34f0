//===- world.h - Test environment with real processes -----------*- C++ -*-===//
//
// Starts olivevalved processes on loopback addresses and connects them through
// fault-injecting proxies. The model engines, services and the rating service
// are simulated in the test process, which also has an HTTP client. All waits
// are for a condition and have a time limit.
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

/// A loopback address with a free port, reserved for one process. The socket is
/// bound here but never listens, so that no other process gets the port.
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

/// The response that a client has received.
struct client_response {
  bool Done = false; ///< The response has ended or the transfer has failed.
  int Status = 0;    ///< HTTP status; 0 if no response was received.
  /// Transport error; empty if the response is complete. Also set if a stream
  /// breaks off.
  std::string Error;
  std::string Body;
  std::map<std::string, std::string> Headers; ///< Keys are in lower case.
  std::string outcome() const { return header("x-olivevalve-outcome"); }
  std::string version() const { return header("x-olivevalve-version"); }
  std::string upstream() const { return header("x-olivevalve-upstream"); }
  std::string header(const std::string &Name) const;
};

/// A client's request.
struct client_request {
  std::string Method = "POST";
  std::string Path = "/v1/chat/completions";
  std::string Body;
  /// Bearer token of the client account; none is sent if empty.
  std::string Key = "demo-dispatch";
  std::vector<std::string> Headers; ///< Whole lines, "Name: value".
  double Seconds = 30;              ///< Time-out of the whole request.
};

/// Returns the body of a chat completion request.
std::string chatBody(const std::string &Model, const std::string &Prompt,
                     bool Stream = false);

/// Output and exit code of olivevalvectl; -1 if a signal terminated it.
struct ctl_result {
  int ExitCode = -1;
  std::string Text;
};

/// Returns a request to the service "ledger" with \p Key as its
/// Idempotency-Key; the service responds after \p Milliseconds.
client_request booking(const std::string &Key, int Milliseconds = 0);

/// Returns a document of the model olive-llm whose versions 1 and 2 have the
/// given states.
json modelWithVersionStates(const std::string &State1,
                            const std::string &State2);

/// Returns how often the simulated service ran the request with the
/// Idempotency-Key \p Key, according to its counters \p Counts.
uint64_t bookingRuns(const json &Counts, const std::string &Key);

/// An olivevalved process with its settings file and log in a folder.
class daemon_process {
public:
  daemon_process(std::string Name, std::string Folder, json Settings);
  ~daemon_process();
  daemon_process(const daemon_process &) = delete;
  daemon_process &operator=(const daemon_process &) = delete;
  /// Writes the settings file and starts the program; can be called again after
  /// the process has terminated. The log file is appended to.
  void start();
  /// Does nothing if the process has been reaped.
  void signal(int Number) const;
  /// Returns whether the program has installed a handler for the signal or
  /// ignores it; before that, the signal's default action would terminate it.
  /// The program does this first, some 0.01 s after start().
  bool handles(int Number) const;
  /// Sends SIGKILL and waits for the process to terminate.
  void kill();
  /// Reaps the process if it has terminated.
  bool running();
  /// Valid once running() has returned false; 128 + the signal's number if a
  /// signal terminated the process.
  int exitCode() const { return ExitCode; }
  const std::string &name() const { return Name; }
  std::string logText() const;
  /// -1 if the process is not running.
  pid_t pid() const { return Pid; }

private:
  std::string Name;
  std::string Folder;
  json Settings;
  pid_t Pid = -1;
  int ExitCode = -1;
};

/// A control VM.
struct control_node {
  uint64_t Id = 0;
  reserved_address Address;   ///< For nodes and other control VMs.
  reserved_address Operators; ///< For operators' HTTP requests.
  std::string Folder;
  std::unique_ptr<daemon_process> Process;
  /// Proxies to this VM by the name of the node that connects through them:
  /// "control-2", "entry-1", ...
  std::map<std::string, std::unique_ptr<proxy>> Paths;
};

/// A process in the entry role.
struct entry_node {
  reserved_address Address;
  reserved_address Health;
  std::unique_ptr<daemon_process> Process;
};

/// A process in the sidecar role and its simulated engine or service.
struct sidecar_node {
  std::string Upstream;
  reserved_address Address;
  reserved_address Health;
  std::unique_ptr<proxy> Path; ///< Entries connect through it.
  std::unique_ptr<stand_in> Engine;
  std::unique_ptr<daemon_process> Process;
};

/// Control VMs, entries and sidecars, as processes, and an HTTP client.
class world {
public:
  world();
  ~world();
  world(const world &) = delete;
  world &operator=(const world &) = delete;

  /// Starts control VMs 1 to \p Count and waits until all are voters.
  void startControl(size_t Count);
  entry_node &startEntry(const std::string &Name,
                         const std::string &DataHall = "charguia");
  /// Starts a simulated engine or service and its sidecar.
  sidecar_node &startSidecar(const std::string &Upstream,
                             const std::string &DataHall = "charguia");
  /// Starts and configures the default system and waits until it serves
  /// requests: control VMs, two entries, the sidecars "a" and "b" (olive-llm@1
  /// and @2) and the sidecar "led" (service "ledger").
  void startDefaultSystem(size_t ControlCount = 3);
  /// Returns the configuration of the default system.
  json defaultConfig();
  /// Sends the objects {"models": {...}, ...} to control as one change and
  /// returns the response.
  json apply(const json &Config, double Seconds = 20);
  json putObject(const std::string &Kind, const std::string &Name,
                 const json &Document, double Seconds = 20);

  /// Runs the event loop until \p Condition holds; fails the test if it does
  /// not within \p Seconds.
  void until(const std::string &What, const std::function<bool()> &Condition,
             double Seconds = 30);
  /// Runs the event loop for \p Seconds.
  void run(double Seconds);
  /// Sends a request and returns at once; the response is filled in while the
  /// event loop runs.
  std::shared_ptr<client_response> begin(const std::string &Address,
                                         client_request Request);
  /// Sends a request and waits for the response.
  client_response call(const std::string &Address, client_request Request);
  /// Like call(), but sends the request again while the response says that it
  /// was not run, for at most Request.Seconds.
  client_response ask(const std::string &Address, client_request Request);
  /// Sends an operator's request to the control VMs in turn until one handles
  /// it. Returns the response with its "http_status" added, or null if none
  /// handles it within \p Seconds.
  json operators(const std::string &Method, const std::string &Path,
                 const json &Body = {}, double Seconds = 20);
  /// Runs olivevalvectl with the addresses of all control VMs.
  ctl_result ctl(const std::vector<std::string> &Arguments);
  /// Returns the counters of the sidecar's simulated engine.
  json engineCounts(const sidecar_node &Sidecar);
  /// Changes the behaviour of a simulated engine, see stand_in::control(), and
  /// returns its counters.
  json configureEngine(const stand_in &Engine, const json &Body);
  bool ready(const reserved_address &Health);
  void untilReady(const reserved_address &Health);
  /// Waits until a control VM leads and returns it.
  control_node &leader();
  /// Returns the status that a control VM reports; empty if it does not
  /// respond.
  json statusOf(const control_node &Node);
  /// Returns whether all control VMs are voters.
  bool allAreVoters();
  /// Waits until all control VMs are voters. Before that, the loss of one VM
  /// may cost the quorum.
  void untilAllAreVoters();
  /// Sets a fault on all paths to a control VM and from it to the others.
  void isolateControl(control_node &Node, proxy_fault Fault);
  /// Sets a fault on the paths of the node \p Name to all control VMs.
  void isolateNode(const std::string &Name, proxy_fault Fault);

  /// Merged into the settings of each process started later.
  json ExtraSettings = json::object();
  /// Merged into the section "entry" of each entry started later.
  json EntrySettings = json::object();
  struct ev_loop *Loop;
  temporary_folder Folder;
  std::vector<std::unique_ptr<control_node>> Control;
  std::map<std::string, std::unique_ptr<entry_node>> Entries;
  std::map<std::string, std::unique_ptr<sidecar_node>> Sidecars;
  std::unique_ptr<stand_in> Ratings; ///< The rating service.

private:
  json membersFor(const std::string &User);
  json controlSettings(control_node &Node);
  uint64_t NextChange = 1;
  std::unique_ptr<http_client> Http;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_WORLD_H
