//===- request_causes.cpp - What crashes may be blamed on -----------------===//

#include "quarantine/request_causes.h"
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

// A request has five fields, so that no block has the name of a request.
short_digest blockIdentity(std::string_view Service, std::string_view Block) {
  std::string Bytes;
  append(Bytes, Service);
  append(Bytes, Block);
  return shortDigest(Bytes);
}

} // namespace olivevalve
