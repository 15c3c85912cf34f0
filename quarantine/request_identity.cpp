//===- request_identity.cpp - Identity of a request across retries --------===//

#include "quarantine/request_identity.h"
#include <algorithm>
#include <string>

namespace olivevalve {

namespace {

// The lengths keep the end of one field from being taken for the start of the
// next.
void append(std::string &Bytes, std::string_view Field) {
  Bytes.append(std::to_string(Field.size())).append(":").append(Field);
}

std::string lowered(std::string_view Text) {
  std::string Lowered(Text);
  std::transform(Text.begin(), Text.end(), Lowered.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? char(C + ('a' - 'A')) : C;
  });
  return Lowered;
}

} // namespace

short_digest identityOf(const request_parts &Parts) {
  std::string Bytes;
  append(Bytes, Parts.Account);
  append(Bytes, Parts.Method);
  append(Bytes, lowered(Parts.Host));
  append(Bytes, Parts.Target);
  append(Bytes, Parts.Body);
  return shortDigest(Bytes);
}

} // namespace olivevalve
