//===- header_lines.cpp - Header fields in one buffer ---------------------===//

#include "net/header_lines.h"

namespace olivevalve {

header_lines::header_lines(std::initializer_list<header_view> Fields) {
  for (const header_view &Field : Fields) {
    extendName(Field.Name);
    extendValue(Field.Value, true);
  }
}

void header_lines::extendName(std::string_view Part) { Text.append(Part); }

void header_lines::extendValue(std::string_view Part, bool First) {
  if (First)
    Text += ':';
  else
    Text.pop_back();
  Text.append(Part) += '\n';
  WholeBytes = Text.size();
}

header_view header_lines::iterator::operator*() const {
  size_t Colon = Rest.find(':');
  size_t End = Rest.find('\n', Colon);
  return {.Name = Rest.substr(0, Colon),
          .Value = Rest.substr(Colon + 1, End - Colon - 1)};
}

header_lines::iterator &header_lines::iterator::operator++() {
  Rest.remove_prefix(Rest.find('\n') + 1);
  return *this;
}

} // namespace olivevalve
