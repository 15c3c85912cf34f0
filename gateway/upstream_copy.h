//===- upstream_copy.h - A gateway's copy of the list -----------*- C++ -*-===//
//
// The platform's list of upstreams as this gateway was told it last, by control
// or by the platform itself. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_UPSTREAM_COPY_H
#define OLIVEVALVE_GATEWAY_UPSTREAM_COPY_H

#include "platform/upstream_list.h"
#include "wire/wire.pb.h"
#include <map>

namespace olivevalve {

class upstream_copy {
public:
  /// Names what is held, alike wherever the same is listed; 0: nothing was.
  uint64_t revision() const { return Revision; }
  /// The whole list, from the platform.
  void set(std::vector<platform::listed_upstream> List);
  /// What control told. False, and nothing is changed, if it starts from
  /// another list than this or cannot be read.
  bool take(const wire::upstream_list &Told);
  std::vector<platform::listed_upstream> list() const;

private:
  uint64_t Revision = 0;
  std::map<std::string, platform::listed_upstream> ById;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_UPSTREAM_COPY_H
