//===- peer_work.h - Work of all gateways at the upstreams ------*- C++ -*-===//
//
// An upstream reports its load only with a response, so a gateway that sends it
// a request every few seconds does not have its present load. Each gateway
// therefore reports its own requests in flight to the other gateways, by UDP
// datagram, as soon as they change.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_PEER_WORK_H
#define OLIVEVALVE_GATEWAY_PEER_WORK_H

#include "gateway/upstream_table.h"
#include "net/datagram.h"
#include "pace/upstream_paces.h"
#include "policy/prefix_cache_model.h"
#include "wire/wire.pb.h"
#include <algorithm>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace olivevalve {

/// Sums of the work that the other gateways last reported. Does no I/O; times
/// are passed in.
class peer_work_totals {
public:
  /// Applies a gateway's report; an outdated one is ignored.
  void update(const wire::work_news &Report, double Now);
  /// Drops the work of gateways that have not reported for some seconds.
  void forgetSilent(double Now);
  /// Sum over all other gateways. \p Upstream: key of the incarnation.
  upstream_work at(uint64_t Upstream) const;
  size_t gateways() const { return Gateways.size(); }

private:
  /// What one gateway last reported.
  struct gateway_report {
    uint64_t Sequence = 0;
    double ReceivedAt = 0;
    std::unordered_map<uint64_t, upstream_work> Work;
  };

  void change(gateway_report &Gateway, uint64_t Upstream, upstream_work Work);
  void drop(gateway_report &Gateway);

  std::unordered_map<uint64_t, gateway_report> Gateways; ///< By incarnation.
  std::unordered_map<uint64_t, upstream_work> Sums;      ///< By upstream.
};

/// Settings of peer_work.
struct peer_work_options {
  /// Random id of this process.
  uint64_t Incarnation = 0;
  /// "IP:port" for datagrams; empty: no reports are exchanged.
  std::string Address;
};

/// Sends reports of this gateway's work and receives those of the others.
class peer_work {
public:
  peer_work(struct ev_loop *Loop, const upstream_table &Upstreams,
            peer_work_options Options);

  /// Opens the socket. False: the address cannot be bound.
  bool bind();
  const std::string &address() const { return Socket.address(); }
  uint64_t sentBytes() const { return Socket.sentBytes(); }
  uint64_t receivedBytes() const { return Socket.receivedBytes(); }
  /// Sets the addresses of the other gateways; datagrams from any other address
  /// are ignored.
  void setGateways(const std::vector<std::string> &Addresses);
  /// Reports that a prompt was sent to an upstream.
  void reportPrompt(const upstream &Upstream,
                    std::span<const prompt_block> Blocks);
  /// Reports that this gateway's work at an upstream has changed, or the limit
  /// that the upstream states to it.
  void reportChange(const upstream &Upstream);
  /// Reports a load that an upstream has reported: requests that run or wait
  /// there.
  void reportLoad(const upstream &Upstream, uint32_t Load);
  /// Reports a response, or its failure, of an upstream to this gateway.
  void reportResponse(const upstream &Upstream, bool Failed);
  /// Reports that an upstream has crashed: another incarnation has its address,
  /// or no process listens there.
  void reportCrash(const upstream &Upstream);
  /// Schedules a report, not sooner than the minimum interval allows.
  void scheduleReport();
  /// Sum of the work of all other gateways at an upstream, by its key.
  upstream_work at(uint64_t Upstream) const { return Others.at(Upstream); }
  /// True if all gateways report to this one, so that the sum of their work is
  /// complete. \p AllGateways: number of gateways, 0: unknown.
  bool receivesFromAll(uint32_t AllGateways) const {
    return AllGateways > 0 && Gateways.size() + 1 >= AllGateways;
  }
  /// Number of other gateways that report to this one, and of those that have
  /// reported in the last seconds.
  size_t expectedReports() const { return Gateways.size(); }
  size_t reports() const { return Others.gateways(); }
  /// Number of gateways for each one that reports to this one or is it.
  /// \p AllGateways: number of gateways, 0: unknown.
  double reportScale(uint32_t AllGateways) const {
    return std::max(1.0, double(AllGateways) / double(Gateways.size() + 1));
  }
  /// The gateways that share the bound of an upstream, and the rank of this
  /// one. The order differs by upstream and is the same at all gateways.
  gateway_group groupFor(uint64_t Upstream) const;
  /// Called when an upstream has reported its load to another gateway.
  std::function<void(uint64_t Upstream, uint32_t Load)> OnLoad;
  /// Called when an upstream has responded to another gateway.
  std::function<void(uint64_t Upstream, uint32_t Answers, uint32_t Failures)>
      OnAnswers;
  /// Called when another gateway reports the limit that an upstream states, or
  /// that it states none any more.
  std::function<void(uint64_t Upstream, const limit_report &Report)> OnLimit;
  /// What this gateway has learned of an upstream's pace; empty: nothing is
  /// reported.
  std::function<learned_pace(uint64_t Upstream)> OwnPace;
  /// Called with what another gateway has learned of an upstream's pace.
  std::function<void(uint64_t Gateway, uint64_t Upstream, learned_pace Pace)>
      OnPace;
  /// Called when another gateway reports that an upstream has crashed.
  std::function<void(uint64_t Upstream)> OnCrash;
  /// Called before a report is sent, to add to it.
  std::function<void(wire::work_news &)> OnSendReport;
  /// Called for each report that is received.
  std::function<void(const wire::work_news &)> OnReportReceived;
  /// Called when another gateway has sent a prompt to an upstream.
  std::function<void(uint64_t Upstream, std::span<const prompt_block>)>
      OnPromptSent;

private:
  void receive(const std::string &From, std::string_view Bytes);
  void tick();
  void sendReport(bool Complete);
  std::set<uint64_t> upstreamsWithPace();

  const upstream_table &Upstreams;
  peer_work_options Options;
  std::set<std::string> Gateways;
  /// Results of groupFor() for the present gateways, by upstream.
  mutable std::unordered_map<uint64_t, gateway_group> Groups;
  std::set<uint64_t> Changed; ///< Since the last report, by upstream.
  wire::work_news Pending;    ///< Prompts sent since the last report.
  std::unordered_map<uint64_t, uint32_t> PendingLoads; ///< By upstream.
  std::set<uint64_t> PendingCrashes;
  struct answers {
    uint32_t All = 0;
    uint32_t Failures = 0;
  };
  std::unordered_map<uint64_t, answers> PendingAnswers; ///< By upstream.
  peer_work_totals Others;
  datagram_socket Socket;
  timer Timer;
  uint64_t Sequence = 0;
  /// Suffixes in received reports, counted to give each one a key of its own.
  uint64_t SuffixCount = 0;
  double SentAt = 0;
  double CompleteSentAt = 0;
  /// Upstreams whose pace was reported, counted on from report to report.
  size_t ReportedPaces = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_PEER_WORK_H
