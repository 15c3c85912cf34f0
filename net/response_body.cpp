//===- response_body.cpp - Whether a response is complete -----------------===//

#include "net/response_body.h"
#include <array>

namespace olivevalve {

namespace {

// Bound on an event that has not ended; the longest ones hold some kilobytes.
constexpr size_t MaxEventBytes = 16 << 20;

constexpr std::array<std::string_view, 3> CompletenessNames = {
    "complete", "unconfirmed", "incomplete"};

} // namespace

std::string_view nameOf(completeness Completeness) {
  return CompletenessNames[size_t(Completeness)];
}

std::string_view response_body::take(std::string_view Bytes) {
  if (Options.Content == body_content::Opaque)
    return Bytes;
  if (Oversized)
    return {};
  std::optional<size_t> End = Boundary.feed(Bytes);
  if (!End) {
    Rest.append(Bytes);
    Oversized = Rest.size() > MaxEventBytes;
    if (Oversized)
      Rest = {};
    return {};
  }
  std::string_view Ended = Bytes.substr(0, *End);
  if (!Rest.empty()) {
    Ended = Ready.assign(Rest).append(Ended);
    Rest.clear();
  }
  Rest.append(Bytes.substr(*End));
  if (!Options.FinalData.empty() && !Ended.empty())
    HasFinalData = endsWithData(Ended, Options.FinalData);
  return Ended;
}

completeness response_body::atEnd(transfer_end End) const {
  if (Oversized)
    return completeness::Incomplete;
  bool Framed = End == transfer_end::Framed;
  completeness ByFraming =
      Framed ? completeness::Complete : completeness::Unconfirmed;
  bool NoEvents = Boundary.events() == 0;
  if (Options.Content == body_content::Opaque ||
      (Options.Content == body_content::Untyped && Framed && NoEvents))
    return ByFraming;
  bool EndsWithCr = Framed && Boundary.endPending();
  if (Boundary.insideEvent() && !EndsWithCr)
    return completeness::Incomplete;
  if (!Options.FinalData.empty())
    return HasFinalData ? completeness::Complete : completeness::Incomplete;
  return !Framed && NoEvents ? completeness::Incomplete : ByFraming;
}

} // namespace olivevalve
