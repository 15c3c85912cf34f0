//===- rater.cpp - The contract with the rating service -------------------===//

#include "entry/rater.h"
#include "base/fields.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double BatchSeconds = 0.5;
constexpr double AnswerSeconds = 5;
// Ratings held while control cannot be reached; the oldest go first.
constexpr size_t MostHeld = 10000;
// Answers at the service at once; more are not rated. A service that stops
// must not fill the entry's memory.
constexpr size_t MostAsking = 64;
// What the service gets of question and answer at most.
constexpr size_t MostText = 32 << 10;

std::optional<double> parseScore(const std::string &Body) {
  json Object = json::parse(Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("score") ||
      !Object["score"].is_number())
    return std::nullopt;
  return std::clamp(Object["score"].get<double>(), 0.0, 1.0);
}

} // namespace

rater::rater(control_client &Control, struct ev_loop *Loop, std::string Url,
             const std::string &Reporter)
    : Control(Control), Http(Loop), Url(std::move(Url)), Reporter(Reporter),
      Timer(Loop, [this] { sendBatch(); }) {
  Timer.startRepeating(BatchSeconds);
}

void rater::rate(const rated_answer &Answer, double Seconds,
                 std::function<void(std::optional<double>)> Done) {
  if (!enabled() || Asking >= MostAsking)
    return Done(std::nullopt);
  ++Asking;
  json Question = {{"request_id", Answer.RequestId},
                   {"template", Answer.Template},
                   {"account", Answer.Account},
                   {"model", Answer.Version.Model},
                   {"version", Answer.Version.Version},
                   {"request", Answer.Question.substr(0, MostText)},
                   {"answer", Answer.Answer.substr(0, MostText)}};
  fetch_options Request;
  Request.Method = "POST";
  Request.Url = Url + "/v1/ratings";
  Request.Body = Question.dump(-1, ' ', false, json::error_handler_t::replace);
  Request.Headers = {"Content-Type: application/json"};
  Request.TimeoutSeconds = Seconds;
  auto Body = std::make_shared<std::string>();
  Request.OnBytes = [Body](std::string_view Bytes) {
    Body->append(Bytes);
    return true;
  };
  rated_answer Kept = Answer;
  Kept.Question.clear();
  Kept.Answer.clear();
  Request.OnDone = [this, Body, Kept,
                    Done = std::move(Done)](const fetch_result &Result) {
    --Asking;
    std::optional<double> Score;
    if (Result.Error.empty() && Result.Status == 200)
      Score = parseScore(*Body);
    if (Score)
      report(Kept, *Score, false, "");
    Done(Score);
  };
  Http.start(std::move(Request));
}

void rater::reportArm(const rated_answer &Answer, const arm &Arm,
                      double Score) {
  report(Answer, Score, false, Arm.text());
}

void rater::reportFailure(const rated_answer &Answer) {
  report(Answer, 0, true, "");
}

void rater::report(const rated_answer &Answer, double Score, bool Failed,
                   const std::string &Arm) {
  if (Ratings.size() >= MostHeld)
    return;
  wire::rating Rating;
  Rating.set_template_(Answer.Template);
  Rating.set_account(Answer.Account);
  Rating.set_model(Answer.Version.Model);
  Rating.set_version(Answer.Version.Version);
  Rating.set_score(Score);
  Rating.set_cost(Answer.Cost);
  Rating.set_failed(Failed);
  Rating.set_arm(Arm);
  Ratings.push_back(std::move(Rating));
}

void rater::countExposure(const version_name &Version) { ++Exposures[Version]; }

double rater::unconfirmed(const version_name &Version) const {
  double Sum = 0;
  for (const auto *Map : {&Exposures, &ExposuresInFlight}) {
    auto It = Map->find(Version);
    if (It != Map->end())
      Sum += double(It->second);
  }
  return Sum;
}

void rater::sendBatch() {
  bool Nothing = Ratings.empty() && Exposures.empty();
  if (InFlight || (Nothing && !Batch.has_ratings()))
    return;
  if (!Batch.has_ratings()) {
    wire::rating_batch *New = Batch.mutable_ratings();
    New->set_reporter(Reporter);
    New->set_sequence(++Sequence);
    for (wire::rating &Rating : Ratings)
      *New->add_ratings() = std::move(Rating);
    for (const auto &[Version, Answers] : Exposures) {
      wire::exposure *Exposure = New->add_exposures();
      Exposure->set_model(Version.Model);
      Exposure->set_version(Version.Version);
      Exposure->set_answers(Answers);
    }
    Ratings.clear();
    ExposuresInFlight = std::move(Exposures);
    Exposures.clear();
  }
  InFlight = true;
  Control.ask(Batch, AnswerSeconds, [this](const wire::envelope *Answer) {
    InFlight = false;
    if (!Answer || !Answer->has_ack())
      return;
    Batch.Clear();
    ExposuresInFlight.clear();
  });
}

} // namespace olivevalve
