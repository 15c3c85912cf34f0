//===- request_identity.h - Which requests are the same ---------*- C++ -*-===//

#ifndef OLIVEVALVE_GATEWAY_REQUEST_IDENTITY_H
#define OLIVEVALVE_GATEWAY_REQUEST_IDENTITY_H

#include "base/digest.h"
#include "net/http_reader.h"
#include <string_view>

namespace olivevalve {

/// The same for each try of one request, at every gateway: method, host, path,
/// body and the client account. Without the account, one could act on the
/// requests of another.
short_digest identityOf(const http_head &Head, std::string_view Body,
                        std::string_view Account);

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_REQUEST_IDENTITY_H
