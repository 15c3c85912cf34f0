//===- response_body.h - Whether a response is complete ---------*- C++ -*-===//
//
// The one place that decides whether a response is complete once its transfer
// has ended. A body without a length or chunks ends with its connection, so an
// orderly close does not show that nothing is missing; its content may.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_RESPONSE_BODY_H
#define OLIVEVALVE_NET_RESPONSE_BODY_H

#include "net/event_stream.h"

namespace olivevalve {

/// What a body consists of.
enum class body_content : uint8_t {
  Opaque, ///< Bytes of unknown structure.
  Events, ///< An event stream.
  Untyped ///< An event stream if an event ends in it, else opaque.
};

/// What ended the transfer of a response that was not interrupted.
enum class transfer_end : uint8_t {
  Framed, ///< Its length, its chunks, or that it has no body.
  Closed  ///< The orderly close of a connection, for want of these.
};

enum class completeness : uint8_t {
  Complete,
  /// Nothing contradicts that it is complete, and nothing shows it.
  Unconfirmed,
  Incomplete ///< The response was broken off.
};

std::string_view nameOf(completeness Completeness);

struct response_body_options {
  body_content Content = body_content::Opaque;
  /// Data of the event that ends a complete event stream; empty: none is known.
  std::string_view FinalData;
};

/// The body of one response as it arrives.
class response_body {
public:
  explicit response_body(response_body_options Options = {})
      : Options(Options) {}

  /// Takes the next bytes and returns those that can be passed on now: of an
  /// event stream complete events only. Valid until the next call.
  std::string_view take(std::string_view Bytes);
  /// Decides at the end of the transfer. Unless the response is incomplete,
  /// heldBack() is the rest of the body.
  completeness atEnd(transfer_end End) const;
  /// Bytes that take() has not returned; none of an event beyond 16 MiB, which
  /// makes the response incomplete.
  std::string_view heldBack() const { return Rest; }
  /// An event is longer than 16 MiB. What follows is of no use.
  bool isOversized() const { return Oversized; }

private:
  response_body_options Options;
  event_boundary Boundary;
  std::string Rest;
  std::string Ready; ///< Returned by take() if it joins two parts.
  bool HasFinalData = false;
  bool Oversized = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_RESPONSE_BODY_H
