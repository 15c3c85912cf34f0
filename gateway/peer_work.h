//===- peer_work.h - What all gateways have under way -----------*- C++ -*-===//
//
// An upstream tells its load with an answer, so a gateway that asks it once in
// some seconds knows nothing of the present. Each gateway tells the others what
// it has under way, by datagram, as soon as that changes.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_PEER_WORK_H
#define OLIVEVALVE_GATEWAY_PEER_WORK_H

#include "gateway/upstream_table.h"
#include "net/datagram.h"
#include "policy/prompt_memory.h"
#include "wire/wire.pb.h"
#include <functional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace olivevalve {

/// The work of other gateways, put together from what each told. Pure: times
/// are passed in.
class work_of_others {
public:
  /// Takes in what a gateway told.
  void heard(const wire::work_news &News, double Now);
  /// Drops what gateways told that have long said nothing.
  void forgetSilent(double Now);
  /// Of all others together. \p Upstream: digest of its incarnation's id.
  upstream_work at(uint64_t Upstream) const;
  size_t gateways() const { return Gateways.size(); }

private:
  struct gateway_news {
    uint64_t Sequence = 0;
    double HeardAt = 0;
    std::unordered_map<uint64_t, upstream_work> Works;
  };

  void change(gateway_news &Gateway, uint64_t Upstream, upstream_work Work);
  void drop(gateway_news &Gateway);

  std::unordered_map<uint64_t, gateway_news> Gateways; ///< By incarnation.
  std::unordered_map<uint64_t, upstream_work> Sums;    ///< By upstream.
};

struct peer_work_options {
  uint64_t Incarnation = 0;
  std::string Address; ///< "IP:port" for datagrams; empty: none are sent.
};

/// Tells the own work and hears that of the others.
class peer_work {
public:
  peer_work(struct ev_loop *Loop, const upstream_table &Upstreams,
            peer_work_options Options);

  bool bind();
  const std::string &address() const { return Socket.address(); }
  uint64_t sentBytes() const { return Socket.sentBytes(); }
  uint64_t receivedBytes() const { return Socket.receivedBytes(); }
  /// Where the other gateways hear; others are not listened to.
  void setGateways(const std::vector<std::string> &Addresses);
  /// A prompt went to an upstream.
  void sent(const upstream &Upstream, std::span<const prompt_piece> Pieces);
  /// The own work at an upstream is not what it was.
  void changed(const upstream &Upstream);
  /// An upstream has told how many requests run or wait there.
  void heardLoad(const upstream &Upstream, uint32_t Load);
  /// An upstream has answered this gateway.
  void answered(const upstream &Upstream, bool Failed);
  /// An upstream has ended: another has its address, or nobody.
  void ended(const upstream &Upstream);
  /// There is something to tell beside work.
  void hasNews();
  upstream_work at(uint64_t Upstream) const { return Others.at(Upstream); }
  /// All gateways are told: what is known of their work is all there is.
  bool hearsAll(uint32_t AllGateways) const {
    return AllGateways > 0 && Gateways.size() + 1 >= AllGateways;
  }
  /// This gateway among those that it hears, in an order that is another for
  /// each upstream and the same at all of them.
  warming_circle circleOf(uint64_t Upstream) const;
  /// An upstream has told another gateway how many requests run or wait there.
  std::function<void(uint64_t Upstream, uint32_t Load)> OnLoad;
  /// An upstream has answered another gateway.
  std::function<void(uint64_t Upstream, uint32_t Answers, uint32_t Failures)>
      OnAnswers;
  /// Another gateway says that an upstream has ended.
  std::function<void(uint64_t Upstream)> OnEnded;
  /// Adds to what the others are told, and hears what they tell beside work.
  std::function<void(wire::work_news &)> OnTell;
  std::function<void(const wire::work_news &)> OnNews;
  /// Another gateway has sent a prompt to an upstream.
  std::function<void(uint64_t Upstream, std::span<const prompt_piece>)> OnSent;

private:
  void receive(const std::string &From, std::string_view Bytes);
  void tick();
  void tell(bool Whole);

  const upstream_table &Upstreams;
  peer_work_options Options;
  std::set<std::string> Gateways;
  std::set<uint64_t> Changed; ///< Since the last news, by upstream.
  wire::work_news Untold;     ///< Prompts sent since the last news.
  std::unordered_map<uint64_t, uint32_t> UntoldLoads; ///< By upstream.
  std::set<uint64_t> UntoldEnded;
  struct answers {
    uint32_t All = 0;
    uint32_t Failures = 0;
  };
  std::unordered_map<uint64_t, answers> UntoldAnswers; ///< By upstream.
  work_of_others Others;
  datagram_socket Socket;
  timer Timer;
  uint64_t Sequence = 0;
  uint64_t NamedRests = 0; ///< Rests of others' prompts, counted.
  double ToldAt = 0;
  double ToldWholeAt = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_PEER_WORK_H
