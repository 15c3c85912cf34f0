//===- event_stream.h - Event boundaries in text/event-stream ---*- C++ -*-===//
//
// Finds where events end, without parsing them further. An event ends with a
// blank line; lines end in LF, CRLF or CR, also mixed. Source: the section on
// server-sent events of the HTML standard.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_EVENT_STREAM_H
#define OLIVEVALVE_NET_EVENT_STREAM_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace olivevalve {

/// Returns whether \p ContentType, with or without parameters, is
/// text/event-stream.
bool isEventStreamType(std::string_view ContentType);

/// Follows a stream and finds the ends of its events.
class event_boundary {
public:
  /// Reads the next \p Bytes of the stream. Returns the position in them after
  /// the last event that has ended and the blank lines that follow it; empty:
  /// no event has ended, and these are no such lines.
  std::optional<size_t> feed(std::string_view Bytes);
  /// An event has begun and not ended.
  bool insideEvent() const { return InsideEvent; }
  /// The event ends with a CR unless an LF follows, which then belongs to its
  /// end.
  bool endPending() const { return EndPending; }
  /// Number of events that have ended.
  uint64_t events() const { return Events; }

private:
  void endEvent();

  uint64_t Events = 0;
  bool InsideEvent = false;
  bool InsideLine = false;
  bool AfterCr = false;
  bool UsesCrLf = false; ///< A line of this stream has ended in CRLF.
  bool EndPending = false;
};

/// The id of the last of the complete \p Events that has one; empty: none has.
std::optional<std::string> lastEventId(std::string_view Events);

/// Returns whether the last line of the complete \p Events that is not blank
/// is the field "data" with the value \p Data.
bool endsWithData(std::string_view Events, std::string_view Data);

} // namespace olivevalve

#endif // OLIVEVALVE_NET_EVENT_STREAM_H
