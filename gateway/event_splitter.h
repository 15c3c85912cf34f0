//===- event_splitter.h - Whole events of a stream --------------*- C++ -*-===//
//
// Cuts the bytes of a text/event-stream into whole events, so that a stream
// that breaks off mid-event can go on elsewhere without a seam.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_EVENT_SPLITTER_H
#define OLIVEVALVE_GATEWAY_EVENT_SPLITTER_H

#include <string>
#include <string_view>
#include <utility>

namespace olivevalve {

class event_splitter {
public:
  /// Takes in bytes and returns all events that are whole now, with the blank
  /// lines that end them; empty if there are none.
  std::string take(std::string_view Bytes);
  /// The id of the last whole event that has one, or "".
  const std::string &lastId() const { return LastId; }
  /// The part of an event that came last, at the end of a whole stream.
  std::string takeRest() { return std::exchange(Rest, {}); }
  /// Forgets the part of an event; the ids stay.
  void restart() { Rest.clear(); }

private:
  void noteIds(std::string_view Events);

  std::string Rest;
  std::string LastId;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_EVENT_SPLITTER_H
