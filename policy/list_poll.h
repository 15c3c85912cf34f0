//===- list_poll.h - When gateways poll the platform's list -----*- C++ -*-===//
//
// Gateways get the list of upstreams from control, and poll the platform only
// when that fails. The platform takes a number of calls per second from all
// together, and control, which then needs them most, competes with the
// gateways for it. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_LIST_POLL_H
#define OLIVEVALVE_POLICY_LIST_POLL_H

#include <cstddef>
#include <cstdint>

namespace olivevalve {

/// Seconds over which gateways that lose control at the same time spread their
/// polls, so that all together make few calls per second. \p Gateways that may
/// do so, 0: not known. \p Upstreams in the list.
double listPollSpread(uint32_t Gateways, size_t Upstreams);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_LIST_POLL_H
