//===- request_identity.cpp - Which requests are the same -----------------===//

#include "gateway/request_identity.h"
#include <algorithm>
#include <string>

namespace olivevalve {

namespace {

// Lengths keep the end of one field from being read as the start of the next.
void append(std::string &Bytes, std::string_view Field) {
  Bytes.append(std::to_string(Field.size())).append(":").append(Field);
}

std::string lowered(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return C >= 'A' && C <= 'Z' ? char(C + ('a' - 'A')) : char(C);
  });
  return Text;
}

} // namespace

short_digest identityOf(const http_head &Head, std::string_view Body,
                        std::string_view Account) {
  const std::string *Host = Head.find("Host");
  std::string Bytes;
  append(Bytes, Account);
  append(Bytes, Head.Method);
  append(Bytes, Host ? lowered(*Host) : std::string());
  append(Bytes, Head.Target);
  append(Bytes, Body);
  return shortDigest(Bytes);
}

} // namespace olivevalve
