//===- proxy.h - Fault-injecting TCP proxy ----------------------*- C++ -*-===//
//
// Forwards TCP connections to one address and injects network faults.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_PROXY_H
#define OLIVEVALVE_TESTS_PROXY_H

#include "base/loop.h"
#include <list>
#include <memory>
#include <string>

namespace olivevalve {

enum class proxy_fault : uint8_t {
  None,
  Cut,          ///< Resets open connections and each new one.
  DropAll,      ///< Drops all data; connections stay open.
  DropToServer, ///< Drops data from clients only.
  DropToClient, ///< Drops data from the server only.
  /// Shuts down the direction to the server, as if clients had done so.
  HalfClose,
  Drip, ///< Forwards a few bytes at a time.
  Slow, ///< Delays all data.
  /// Reads nothing from the server, so that its send queue fills up.
  ClientStalls,
};

/// A proxy on a loopback port. While a fault other than None is set, the end of
/// either side's data resets the connection.
class proxy {
public:
  proxy(struct ev_loop *Loop, std::string Target);
  ~proxy();
  proxy(const proxy &) = delete;
  proxy &operator=(const proxy &) = delete;

  const std::string &address() const { return Address; }
  void setTarget(std::string NewTarget) { Target = std::move(NewTarget); }
  /// Applies to open and new connections.
  void set(proxy_fault NewFault);
  /// Number of open connections.
  size_t connections() const;

private:
  struct direction {
    std::string Pending; ///< Read, but not yet written to the other side.
    bool Closed = false; ///< Data was dropped; all further data is dropped too.
  };
  struct connection {
    connection(struct ev_loop *Loop, proxy &Owner);
    int Client = -1;
    int Server = -1;
    direction ToServer;
    direction ToClient;
    descriptor_watch ClientWatch;
    descriptor_watch ServerWatch;
    timer Later;
    bool Dead = false;
  };

  void accept();
  void onReadable(connection &Connection, bool FromClient);
  void forward(connection &Connection);
  void moveAll(connection &Connection);
  void push(direction &Direction, int Out);
  bool swallows(bool FromClient) const;
  void reset(connection &Connection);
  void endBoth(connection &Connection);
  void forget(connection &Connection);
  void rewatch(connection &Connection);

  struct ev_loop *Loop;
  std::string Target;
  std::string Address;
  int Listener = -1;
  proxy_fault Fault = proxy_fault::None;
  descriptor_watch ListenWatch;
  std::list<std::unique_ptr<connection>> Connections;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_PROXY_H
