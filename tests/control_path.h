//===- control_path.h - Slow link between gateways and control --*- C++ -*-===//
//
// Forwards messages between gateways and one control VM. Messages to gateways
// are sent in order with a limited bandwidth or a delay, as on a congested
// link. Notices are rewritten so that the leader's address is that of this
// path; otherwise gateways would connect to the leader directly.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_CONTROL_PATH_H
#define OLIVEVALVE_TESTS_CONTROL_PATH_H

#include "base/clock.h"
#include "net/link.h"
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace olivevalve {

/// A message proxy in front of one control VM.
class control_path {
public:
  /// \p Target: the address at which the control VM accepts nodes.
  control_path(struct ev_loop *Loop, std::string Target)
      : Loop(Loop), Target(std::move(Target)),
        Front(Context, Loop,
              [this](const std::string &Peer, const wire::envelope &Message) {
                toControl(Peer, Message);
              }),
        Later(Loop, [this] { deliver(); }) {
    Front.bind("127.0.0.1:0");
  }

  std::string address() const { return Front.address(); }

  double BytesPerSecond = 0; ///< Bandwidth towards gateways; 0: no limit.
  double DelaySeconds = 0;   ///< Delay of each message towards gateways.
  size_t Bytes = 0;          ///< Size of all messages from control to gateways.

private:
  struct queued_message {
    std::string Peer;
    wire::envelope Message;
    double DueAt = 0;
  };

  void toControl(const std::string &Peer, const wire::envelope &Message) {
    std::unique_ptr<client_link> &Link = Links[Peer];
    if (!Link) {
      Link = std::make_unique<client_link>(
          Context, Loop, Peer, [this, Peer](const wire::envelope &Answer) {
            toGateway(Peer, Answer);
          });
      Link->connect(Target);
    }
    Link->send(Message);
  }

  void toGateway(const std::string &Peer, wire::envelope Message) {
    size_t Size = Message.ByteSizeLong();
    Bytes += Size;
    if (Message.has_notice())
      replaceLeaderAddress(*Message.mutable_notice());
    double Now = steadySeconds();
    double SendSeconds = BytesPerSecond > 0 ? double(Size) / BytesPerSecond : 0;
    FreeAt = std::max(FreeAt, Now) + SendSeconds;
    Queue.push_back({Peer, std::move(Message), FreeAt + DelaySeconds});
    if (!Later.active())
      deliver();
  }

  void replaceLeaderAddress(wire::notice &Notice) const {
    Notice.clear_control_vms();
    if (Notice.leader() == 0)
      return;
    wire::control_vm *Self = Notice.add_control_vms();
    Self->set_id(Notice.leader());
    Self->set_address(address());
  }

  void deliver() {
    double Now = steadySeconds();
    for (; !Queue.empty() && Queue.front().DueAt <= Now; Queue.pop_front())
      Front.send(Queue.front().Peer, Queue.front().Message);
    if (!Queue.empty())
      Later.startOnce(Queue.front().DueAt - Now);
  }

  struct ev_loop *Loop;
  std::string Target;
  link_context Context;
  server_link Front;
  std::map<std::string, std::unique_ptr<client_link>> Links; ///< By gateway.
  std::deque<queued_message> Queue;                          ///< To gateways.
  double FreeAt = 0; ///< When the link has transmitted all queued messages.
  timer Later;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_CONTROL_PATH_H
