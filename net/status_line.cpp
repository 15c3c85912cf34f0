//===- status_line.cpp - What a status line announces ---------------------===//

#include "net/status_line.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr std::string_view Version = "HTTP/1.";
constexpr std::string_view SwitchingProtocols = "101";

bool isDigit(char C) { return C >= '0' && C <= '9'; }

} // namespace

response_kind responseKindOf(std::string_view Line) {
  while (Line.ends_with('\n') || Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (!Line.starts_with(Version))
    return response_kind::None;
  Line.remove_prefix(Version.size());
  if (Line.size() < 5 || !isDigit(Line[0]) || Line[1] != ' ')
    return response_kind::None;
  std::string_view Status = Line.substr(2, 3);
  bool Ends = Line.size() == 5 || Line[5] == ' ';
  if (!Ends || !std::all_of(Status.begin(), Status.end(), isDigit) ||
      Status[0] < '1' || Status[0] > '5' || Status == SwitchingProtocols)
    return response_kind::None;
  return Status[0] == '1' ? response_kind::Interim : response_kind::Final;
}

} // namespace olivevalve
