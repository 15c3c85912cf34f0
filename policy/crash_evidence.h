//===- crash_evidence.h - Requests that crash upstreams ---------*- C++ -*-===//
//
// A request may crash every upstream that processes it, and its caller may
// retry it at any gateway; or one block of many prompts crashes every upstream
// that begins to answer a prompt with it, whatever else the prompt contains.
// Both are causes of crashes. The evidence against a cause is the set of
// upstreams that crashed while processing a request with it. Reports are merged
// as a set union, so their order, origin and repetition do not matter.
//
// A response clears what it contained: a cause that crashes upstreams never
// gets one, while a frequent one that was merely in progress during crashes
// does. A complete response clears a request for some time. A block that was
// harmless may begin to crash upstreams, with a new version of their software
// for one; so a response clears it only of crashes before the response began.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_CRASH_EVIDENCE_H
#define OLIVEVALVE_POLICY_CRASH_EVIDENCE_H

#include "base/digest.h"
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <vector>

namespace olivevalve {

enum class crash_cause_kind : uint8_t {
  Request, ///< One request, the same in each retry.
  Block    ///< A block of prompts.
};

std::string_view nameOf(crash_cause_kind Kind);

/// A response that has gone on for so many seconds, or is complete, has
/// survived its beginning: crashes that come later are not due to its prompt.
constexpr double SurvivalSeconds = 0.5;

/// Requests of one process that a crash interrupted and that may be to blame
/// for it, as their responses have not survived their beginning.
struct crash_company {
  uint32_t Requests = 1;
  uint32_t Begun = 0; ///< Of these, with a response that had begun.
};

/// An upstream crashed while it was processing a request. Times are
/// steady-clock seconds.
struct crash_report {
  short_digest Cause{};
  uint64_t Upstream = 0; ///< Incarnation of the upstream.
  crash_cause_kind Kind = crash_cause_kind::Request;
  // Only for a block:
  uint64_t Request = 0; ///< First half of the digest of the request.
  double SentAt = 0;    ///< When that request was sent to the upstream.
  double CrashedAt = 0;
  uint64_t Reporter = 0; ///< Incarnation of the process that saw the crash.
  /// Share of the reporter's requests that contain the block, 0 to 1.
  double Share = 0;
  /// The response to a request with the block had begun.
  bool Begun = false;
  crash_company Company; ///< Of the reporter.
};

/// A cause to quarantine.
struct crash_verdict {
  short_digest Cause{};
  crash_cause_kind Kind = crash_cause_kind::Request;
  std::set<uint64_t> Upstreams; ///< That crashed.
  double LastCrashAt = 0;       ///< Steady-clock seconds.
};

/// Until when crashes are not held against a cause: a hash table of fixed size
/// in which a newer entry may overwrite an older one.
class cleared_causes {
public:
  explicit cleared_causes(size_t Capacity) : Table(Capacity) {}

  void add(const short_digest &Cause, double Until);
  /// Steady-clock seconds; empty: the cause is not in the table.
  std::optional<double> until(const short_digest &Cause) const;

private:
  struct entry {
    short_digest Cause{};
    double Until = 0;
  };
  size_t indexOf(const short_digest &Cause) const {
    return size_t(Cause[0] % Table.size());
  }

  std::vector<entry> Table;
};

struct crash_evidence_options {
  /// The number of causes for which evidence is held.
  size_t MaxCauses = 4096;
  /// The number of recently cleared causes that are remembered.
  size_t MaxCleared = 1 << 14;
};

/// The crash evidence that one process holds. All times are steady-clock
/// seconds.
class crash_evidence {
public:
  /// The number of upstreams that must have crashed for a cause to be
  /// quarantined: too many for a coincidence.
  static constexpr size_t CrashesToQuarantine = 3;
  /// The number of upstreams that are held against a block. Several blocks may
  /// be in each of the prompts; only the sets tell them apart.
  static constexpr size_t MaxCrashesOfBlock = 64;

  explicit crash_evidence(crash_evidence_options Options = {});

  /// Adds a crash report. Returns false if the report is a duplicate, the
  /// evidence already suffices, or the cause is cleared of this crash.
  bool addCrash(const crash_report &Report, double Now);
  /// Records a complete response to the request and clears the evidence against
  /// it. Returns true if there was any.
  bool recordResponse(const short_digest &Request, double Now);
  /// Records that a response to a request with the block, which began at
  /// \p BegunAt, survived its beginning. Returns true if it cleared anything.
  bool recordSurvival(const short_digest &Block, double BegunAt);
  /// True if a crash at \p At is not held against the cause.
  bool isCleared(const short_digest &Cause, double At) const;
  bool answeredRecently(const short_digest &Request, double Now) const {
    return isCleared(Request, Now);
  }
  std::optional<double> clearedUntil(const short_digest &Cause) const {
    return Cleared.until(Cause);
  }
  /// Removes all evidence against the cause.
  void clear(const short_digest &Cause);
  /// True if the evidence suffices to quarantine the request, on the word of
  /// this process alone. Never true for a block: only all reports together tell
  /// which of the blocks that prompts have in common is to blame.
  bool shouldQuarantine(const short_digest &Request, double Now) const;
  /// The incarnations of the upstreams that crashed while processing the
  /// cause.
  std::set<uint64_t> crashedUpstreams(const short_digest &Cause,
                                      double Now) const;
  /// All causes that should be quarantined beside the blocks \p Quarantined.
  /// Crashes that are explained by a block, quarantined or in the result, count
  /// against no other cause.
  std::vector<crash_verdict>
  verdicts(const std::vector<short_digest> &Quarantined, double Now) const;
  /// True if there is evidence against the request, and the blocks explain all
  /// of it.
  bool isExplained(const short_digest &Request,
                   const std::vector<short_digest> &Blocks, double Now) const;
  /// The number of causes with evidence, including expired evidence.
  size_t size() const { return Records.size(); }

private:
  struct crash {
    uint64_t Request = 0;
    double SentAt = 0;
    double CrashedAt = 0;
    double Share = 0;
    bool Begun = false;
  };
  /// What is known of a crash beside the causes that it may be blamed on.
  struct scene {
    double At = 0;
    std::map<uint64_t, crash_company> Company; ///< By reporter.
  };
  using crash_map = std::map<uint64_t, crash>; ///< By upstream incarnation.
  struct record {
    crash_cause_kind Kind = crash_cause_kind::Request;
    crash_map Crashes;
    double LastAt = 0; ///< When the last upstream was added.
  };
  /// The order of eviction: fewest crashes first, then oldest.
  using order_key = std::tuple<size_t, double, short_digest>;
  static order_key orderOf(const short_digest &Cause, const record &Record) {
    return {Record.Crashes.size(), Record.LastAt, Cause};
  }
  /// A block and the crashes that are held against it.
  struct suspect_block {
    short_digest Block{};
    crash_map Crashes;
    /// Natural logarithm of the odds against its presence by chance.
    double Surprise = 0;
    /// Share of all crashes since its first one at which it was present.
    double Rate = 0;
    std::set<uint64_t> upstreams() const;
    double firstCrashAt() const;
  };
  static bool isRepeated(const crash_map &Crashes);
  /// The requests that a crash is blamed on.
  enum class blame : uint8_t { AnySuspect, BegunOnly };
  /// The crashes since the first one of a block, except explained ones.
  std::vector<const scene *> scenesSince(const suspect_block &Suspect,
                                         const std::set<uint64_t> &Explained,
                                         double Now) const;
  static double surprise(const suspect_block &Suspect,
                         const std::vector<const scene *> &Since, blame Blame);
  std::vector<suspect_block>
  suspectBlocks(const std::set<short_digest> &Quarantined,
                const std::set<uint64_t> &Explained, double Now) const;
  std::vector<suspect_block>
  blocksToBlame(const std::set<short_digest> &Quarantined,
                const std::set<uint64_t> &Explained, double Now) const;
  void addScene(const crash_report &Report, double Now);
  bool isCurrent(const record &Record, double Now) const;
  const record *find(const short_digest &Cause, double Now) const;
  bool clearUntil(const short_digest &Cause, double Until);
  std::set<uint64_t> explainedBy(const std::vector<short_digest> &Blocks,
                                 double Now) const;
  void makeRoom();

  crash_evidence_options Options;
  std::map<short_digest, record> Records;
  std::set<order_key> Order;
  std::map<uint64_t, scene> Scenes; ///< By upstream incarnation.
  cleared_causes Cleared;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_CRASH_EVIDENCE_H
