//===- upstream_list_copy.h - Copy of the upstream list ---------*- C++ -*-===//
//
// The platform's list of upstreams as this gateway last received it from
// control or from the platform itself. Does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_UPSTREAM_LIST_COPY_H
#define OLIVEVALVE_GATEWAY_UPSTREAM_LIST_COPY_H

#include "platform/upstream_list.h"
#include "wire/wire.pb.h"
#include <map>

namespace olivevalve {

/// The upstream list of one gateway.
class upstream_copy {
public:
  /// Digest of the list, the same wherever the same list is held; 0: none was
  /// received.
  uint64_t revision() const { return Revision; }
  /// Replaces the list by a complete one from the platform.
  void set(std::vector<platform::listed_upstream> List);
  /// Applies an update from control. Returns false and changes nothing if the
  /// update is based on another list than this one or cannot be read.
  bool apply(const wire::upstream_list &Update);
  std::vector<platform::listed_upstream> list() const;

private:
  uint64_t Revision = 0;
  std::map<std::string, platform::listed_upstream> ById;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_UPSTREAM_LIST_COPY_H
