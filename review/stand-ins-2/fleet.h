//===- fleet.h - Processes and stand-ins of the second review ---*- C++ -*-===//
//
// What the scripts below review/ share: they start the project's own program
// as separate processes, with the settings that the templates in deploy/ give,
// on loopback addresses, and play the platform, the replicas, the clients and
// the operator themselves. Everything blocks and uses threads, to stay small.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_REVIEW_STAND_INS_2_FLEET_H
#define OLIVEVALVE_REVIEW_STAND_INS_2_FLEET_H

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Exit codes of a script.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

double now();
void pause(double Seconds);
/// False if the environment has TROUBLE=0.
bool withTrouble();

/// What was sent, answered and run, a line each, with the seconds since start.
class record {
public:
  explicit record(const std::string &Path);
  ~record();
  record(const record &) = delete;
  record &operator=(const record &) = delete;
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  FILE *File;
  double Start;
};

using headers = std::vector<std::pair<std::string, std::string>>;

/// Value of the header, or an empty text; names are in lower case.
std::string valueOf(const std::map<std::string, std::string> &Lines,
                    const std::string &Name);

struct answer {
  int Status = 0; ///< 0: no head was received.
  std::map<std::string, std::string> Lines;
  std::string Body;
  bool Whole = false; ///< The body is complete as its framing says.
  double Seconds = 0;
};

struct call_options {
  std::string Method = "GET";
  std::string Path = "/";
  headers Lines;
  std::string Body;
  double TimeoutSeconds = 1;
  /// Most bytes read a second; 0: as fast as possible.
  double ReadBytesPerSecond = 0;
};

/// Sends one request on a new connection and reads its answer.
answer call(const std::string &Address, const call_options &Options);

/// A connection that is kept for several requests, one at a time.
class kept_connection {
public:
  kept_connection() = default;
  ~kept_connection();
  kept_connection(const kept_connection &) = delete;
  kept_connection &operator=(const kept_connection &) = delete;
  answer call(const std::string &Address, const call_options &Options);

private:
  int Socket = -1;
};

struct request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Lines;
  std::string Body;
};

/// Writes an answer to the connection of a server.
class responder {
public:
  explicit responder(int Socket) : Socket(Socket) {}
  void whole(int Status, const headers &Lines, std::string_view Body);
  void begin(int Status, const headers &Lines);
  void piece(std::string_view Bytes);
  void finish();

private:
  void write(std::string_view Bytes);
  int Socket;
};

/// An HTTP server with a thread for each connection; it serves until the
/// process ends.
bool serve(const std::string &Address,
           std::function<void(const request &, responder &)> Handler);

/// A replica that the platform lists.
struct replica {
  std::string Id;
  std::string Address;
  std::string Version = "v1";
  std::string Hall = "hall-a";
  int Slots = 6;
};

/// The platform's list of replicas.
class platform_list {
public:
  /// Serves the list at \p Address.
  bool start(const std::string &Address);
  void put(const replica &Replica);

private:
  std::mutex Mutex;
  std::vector<replica> Replicas;
};

/// The processes of a small deployment. Core machine N has the address
/// BASE.N and edge machine N has BASE.(100+N).
class fleet {
public:
  /// \p Base: the first three bytes of the loopback addresses.
  fleet(std::string Base, size_t CoreMachines);
  ~fleet() { stop(); }
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  std::string core(size_t Number) const;
  std::string edge(size_t Number) const;
  /// An address for a stand-in.
  std::string other(size_t Number) const;
  std::string controlPlane(size_t Number) const;
  std::string frontend(size_t Number) const;
  std::string readiness(size_t Number) const;
  std::string listAddress() const;
  /// The core machine that a Location names; 0: none.
  size_t machineAt(const std::string &Location) const;

  /// \p First: the whole system starts for the first time.
  void startControl(size_t Number, bool First);
  /// \p LogTo: where standard output goes; -1: a file.
  void startGateway(size_t Number, int LogTo = -1);
  void signalControl(size_t Number, int Signal);
  void signalGateway(size_t Number, int Signal);
  /// Waits for the end of the process; false if it does not come in time.
  bool awaitGateway(size_t Number, double Seconds);
  void awaitControl(size_t Number);
  /// The machine loses its disk.
  void wipe(size_t Number);
  pid_t gatewayId(size_t Number) const;

  /// Sends a call of the operator to core machine \p Number and follows 307 up
  /// to twice. \p Answered: the machine that gave the answer.
  answer operate(const std::string &Method, const std::string &Path,
                 const std::string &Body, size_t Number,
                 size_t *Answered = nullptr) const;
  /// Sends it again, to one machine after the other, until it is acknowledged;
  /// returns the machine, none if it is not in time.
  std::optional<size_t> order(const std::string &Path, const std::string &Body,
                              double Seconds) const;
  /// Waits until the gateway says that it is ready.
  bool untilReady(size_t Number, double Seconds) const;
  /// Waits until all core machines are voters of one group.
  bool untilWhole(double Seconds) const;
  /// Ends all processes, removes the temporary folder and exits with \p Code at
  /// once, as threads of the stand-ins may still be at work.
  [[noreturn]] void leave(int Code);

private:
  void stop();
  void launch(const std::string &Name, const std::string &Settings, int LogTo);
  void signal(const std::string &Name, int Signal);
  std::string portText(int Offset) const;

  std::string Base;
  size_t CoreMachines;
  int Port; ///< First of the ports between nodes.
  std::string Folder;
  std::map<std::string, pid_t> Processes;
};

/// A route of a configuration, as the pages write it with the names of
/// deploy/wire.toml.
struct route {
  std::string Prefix;
  std::string Kind = "unsafe";
  int TimeoutMs = 20000;
  bool Model = false;
};

/// A configuration with one service, one tenant ("t1", key "k1") and the host
/// a.example.
std::string configuration(uint64_t Version, const std::vector<route> &Routes);

} // namespace review

#endif // OLIVEVALVE_REVIEW_STAND_INS_2_FLEET_H
