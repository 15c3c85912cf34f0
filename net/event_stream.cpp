//===- event_stream.cpp - Event boundaries in text/event-stream -----------===//

#include "net/event_stream.h"
#include <algorithm>
#include <strings.h>
#include <utility>

namespace olivevalve {

namespace {

constexpr std::string_view EventStreamType = "text/event-stream";
constexpr std::string_view LineEnds = "\r\n";
constexpr std::string_view IdField = "id:";
constexpr std::string_view DataField = "data:";

std::string_view withoutLeadingSpace(std::string_view Value) {
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  return Value;
}

} // namespace

bool isEventStreamType(std::string_view ContentType) {
  std::string_view Type =
      ContentType.substr(0, ContentType.find_first_of("; \t"));
  return Type.size() == EventStreamType.size() &&
         strncasecmp(Type.data(), EventStreamType.data(), Type.size()) == 0;
}

void event_boundary::endEvent() {
  EndPending = InsideEvent = false;
  ++Events;
}

std::optional<size_t> event_boundary::feed(std::string_view Bytes) {
  std::optional<size_t> End;
  size_t I = 0;
  while (I < Bytes.size()) {
    char Byte = Bytes[I];
    bool EndsCrLf = Byte == '\n' && std::exchange(AfterCr, false);
    if (EndsCrLf) {
      UsesCrLf = true;
      if (EndPending)
        endEvent();
      ++I;
    } else {
      if (EndPending) {
        endEvent();
        End = I;
      }
      if (Byte != '\n' && Byte != '\r') {
        AfterCr = false;
        InsideEvent = InsideLine = true;
        I = std::min(Bytes.find_first_of(LineEnds, I), Bytes.size());
        continue;
      }
      AfterCr = Byte == '\r';
      bool IsBlank = !std::exchange(InsideLine, false);
      if (IsBlank && InsideEvent) {
        EndPending = AfterCr && UsesCrLf;
        if (!EndPending)
          endEvent();
      }
      ++I;
    }
    if (!InsideEvent)
      End = I;
  }
  return End;
}

std::optional<std::string> lastEventId(std::string_view Events) {
  std::optional<std::string> Id;
  while (!Events.empty()) {
    size_t End = std::min(Events.find_first_of(LineEnds), Events.size());
    std::string_view Line = Events.substr(0, End);
    Events.remove_prefix(std::min(End + 1, Events.size()));
    if (Line.starts_with(IdField))
      Id = withoutLeadingSpace(Line.substr(IdField.size()));
  }
  return Id;
}

bool endsWithData(std::string_view Events, std::string_view Data) {
  size_t Last = Events.find_last_not_of(LineEnds);
  if (Last == std::string_view::npos)
    return false;
  Events = Events.substr(0, Last + 1);
  size_t LineEnd = Events.find_last_of(LineEnds);
  if (LineEnd != std::string_view::npos)
    Events.remove_prefix(LineEnd + 1);
  return Events.starts_with(DataField) &&
         withoutLeadingSpace(Events.substr(DataField.size())) == Data;
}

} // namespace olivevalve
