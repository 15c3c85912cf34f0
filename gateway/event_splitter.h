//===- event_splitter.h - Complete events of a stream -----------*- C++ -*-===//
//
// Splits the bytes of a text/event-stream into complete events, so that a
// stream that is interrupted within an event can be resumed at another
// upstream.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_EVENT_SPLITTER_H
#define OLIVEVALVE_GATEWAY_EVENT_SPLITTER_H

#include <string>
#include <string_view>
#include <utility>

namespace olivevalve {

/// Buffers a stream up to the end of each event.
class event_splitter {
public:
  /// Adds bytes and returns all events that are complete now, with the blank
  /// lines that end them; empty if there are none.
  std::string take(std::string_view Bytes);
  /// The id of the last complete event that has one, or "".
  const std::string &lastId() const { return LastId; }
  /// Returns the bytes after the last complete event, at the end of a complete
  /// stream.
  std::string takeRest() { return std::exchange(Rest, {}); }
  /// Number of bytes after the last complete event.
  size_t unfinishedBytes() const { return Rest.size(); }
  /// Drops the bytes of an incomplete event; the last id is kept.
  void restart() { Rest.clear(); }

private:
  void noteIds(std::string_view Events);

  std::string Rest;
  std::string LastId;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_EVENT_SPLITTER_H
