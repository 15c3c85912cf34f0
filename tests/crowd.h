//===- crowd.h - Many clients that keep to no rules -------------*- C++ -*-===//
//
// Connections that send given bytes as fast as the server takes them, stay open
// and read only what they are told to.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_CROWD_H
#define OLIVEVALVE_TESTS_CROWD_H

#include "net/tcp_stream.h"
#include <memory>
#include <string>
#include <vector>

namespace olivevalve {

/// What each client of a crowd does.
struct crowd_options {
  std::string Address; ///< Of the server, IP:port.
  size_t Clients = 1;
  std::string Begin;  ///< Sent first.
  std::string Repeat; ///< Sent after Begin, Repeats times.
  size_t Repeats = 0;
  std::string End;    ///< Sent last.
  bool Reads = false; ///< The client reads what it is sent.
};

/// Clients that all do the same at once.
class crowd {
public:
  crowd(struct ev_loop *Loop, crowd_options Options);
  ~crowd();
  crowd(const crowd &) = delete;
  crowd &operator=(const crowd &) = delete;

  /// Bytes sent and received, and ended connections: grows while anything
  /// happens.
  uint64_t progress() const;
  /// What the first client has received.
  const std::string &received() const;

private:
  struct client;
  void pump(client &Client);

  crowd_options Options;
  std::vector<std::unique_ptr<client>> Clients;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_CROWD_H
