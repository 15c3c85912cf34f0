//===- status_line.h - What a status line announces -------------*- C++ -*-===//
//
// The one place that decides which first lines begin a response. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_STATUS_LINE_H
#define OLIVEVALVE_NET_STATUS_LINE_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace olivevalve {

enum class response_kind : uint8_t {
  None,    ///< No response of HTTP/1.x to a request without an upgrade.
  Interim, ///< The final response follows.
  Final
};

/// Bytes of a status line that responseKindOf() needs.
constexpr size_t StatusPrefixBytes = sizeof("HTTP/1.1 200 ") - 1;

/// The kind of response that begins with \p Line, which may end with CR, LF or
/// both. A status has three digits, from 100 to 599 (RFC 9110, section 15). As
/// no request here asks for an upgrade, 101 announces a protocol that nobody
/// reads.
response_kind responseKindOf(std::string_view Line);

} // namespace olivevalve

#endif // OLIVEVALVE_NET_STATUS_LINE_H
