//===- link_authenticator.cpp - Authentication of link peers --------------===//

#include "net/link_authenticator.h"
#include "base/log.h"
#include <array>
#include <vector>
#include <zmq.h>

namespace olivevalve {

namespace {

constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr size_t KeyBytes = 32;
// Indexes of the frames of a ZAP request: version, request id, domain, address,
// identity, mechanism, client key.
constexpr size_t RequestIdFrame = 1;
constexpr size_t AddressFrame = 3;
constexpr size_t MechanismFrame = 5;
constexpr size_t KeyFrame = 6;

} // namespace

link_authenticator::link_authenticator(link_context &Context,
                                       struct ev_loop *Loop) {
  if (!Context.keys().enabled())
    return;
  std::array<uint8_t, KeyBytes> Key{};
  zmq_z85_decode(Key.data(), Context.keys().PublicKey.c_str());
  AllowedKey.assign(reinterpret_cast<char *>(Key.data()), Key.size());
  Socket = std::make_unique<detail::link_socket>(Context, Loop, ZMQ_REP,
                                                 [this] { handleRequest(); });
  zmq_bind(Socket->get(), ZapEndpoint);
  Socket->watch();
}

void link_authenticator::handleRequest() {
  std::vector<std::string> Frames;
  bool More = true;
  while (More) {
    std::string Frame;
    if (!Socket->receive(Frame, More))
      return;
    Frames.push_back(std::move(Frame));
  }
  if (Frames.size() <= RequestIdFrame)
    return;
  bool Allowed = Frames.size() > KeyFrame &&
                 Frames[MechanismFrame] == "CURVE" &&
                 Frames[KeyFrame] == AllowedKey;
  if (!Allowed) {
    ++Refused;
    std::string Address =
        Frames.size() > AddressFrame ? Frames[AddressFrame] : "";
    logLine(log_level::Warning,
            "rejected a link peer without the deployment's CURVE key",
            {{"address", Address}});
  }
  Socket->send("1.0", true);
  Socket->send(Frames[RequestIdFrame], true);
  Socket->send(Allowed ? "200" : "400", true);
  Socket->send(Allowed ? "OK" : "unknown client key", true);
  Socket->send("", true);
  Socket->send("", false);
}

} // namespace olivevalve
