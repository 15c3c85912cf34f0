//===- proxy.h - Faults on a TCP path ---------------------------*- C++ -*-===//
//
// Forwards connections to one address and brings faults about on the way.
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
  Cut,          ///< Connections are reset, new ones too.
  Hole,         ///< Nothing passes, nothing is closed.
  HoleToServer, ///< Only what comes from clients is swallowed.
  HoleToClient,
  HalfClose,    ///< What clients send ends, as if they had shut it down.
  Drip,         ///< A few bytes at a time.
  Slow,         ///< Everything comes late.
  ClientStalls, ///< Nothing is taken from the server: its queue fills.
};

class proxy {
public:
  proxy(struct ev_loop *Loop, std::string Target);
  ~proxy();
  proxy(const proxy &) = delete;
  proxy &operator=(const proxy &) = delete;

  const std::string &address() const { return Address; }
  void setTarget(std::string NewTarget) { Target = std::move(NewTarget); }
  void set(proxy_fault NewFault);
  /// That are open now.
  size_t connections() const;

private:
  struct direction {
    std::string Pending;
    bool Closed = false;
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
