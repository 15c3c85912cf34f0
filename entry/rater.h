//===- rater.h - The contract with the rating service -----------*- C++ -*-===//
//
// Sends answers to the rating service and what comes back to control. All that
// is known of the service's interface stands here; see docs/INTERFACES.md.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_RATER_H
#define OLIVEVALVE_ENTRY_RATER_H

#include "lease/control_client.h"
#include "net/http_client.h"
#include "policy/estimate.h"
#include <functional>
#include <optional>

namespace olivevalve {

struct rated_answer {
  std::string RequestId;
  std::string Template;
  std::string Account;
  version_name Version;
  std::string Question; ///< The caller's body.
  std::string Answer;
  double Cost = 0;
};

class rater {
public:
  /// No ratings without \p Url, "http://IP:port".
  rater(control_client &Control, struct ev_loop *Loop, std::string Url,
        const std::string &Reporter);

  bool enabled() const { return !Url.empty(); }
  /// Asks for a rating; \p Done gets the score, or nothing when it did not
  /// come in time. The score is reported to control in either case.
  void rate(const rated_answer &Answer, double Seconds,
            std::function<void(std::optional<double>)> Done);
  /// Reports a cascade as a whole.
  void reportArm(const rated_answer &Answer, const arm &Arm, double Score);
  void reportFailure(const rated_answer &Answer);
  /// Counts an answer against its version's exposure budget.
  void countExposure(const version_name &Version);
  /// Answers counted but not yet confirmed by control.
  double unconfirmed(const version_name &Version) const;
  size_t pending() const { return Ratings.size() + Exposures.size(); }
  void flush() { sendBatch(); }

private:
  void report(const rated_answer &Answer, double Score, bool Failed,
              const std::string &Arm);
  void sendBatch();

  control_client &Control;
  http_client Http;
  std::string Url;
  std::string Reporter;
  uint64_t Sequence = 0;
  std::vector<wire::rating> Ratings;
  std::map<version_name, uint64_t> Exposures;
  std::map<version_name, uint64_t> ExposuresInFlight;
  size_t Asking = 0; ///< Ratings asked for and not yet given.
  bool InFlight = false;
  wire::envelope Batch; ///< Resent as it is until control has it.
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_RATER_H
