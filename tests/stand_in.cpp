//===- stand_in.cpp - Simulated engine, service and rating service --------===//

#include "tests/stand_in.h"
#include "base/digest.h"
#include <algorithm>
#include <cstdlib>

namespace olivevalve {

namespace {

constexpr const char *Json = "application/json";
constexpr double BytesPerToken = 4;

// Returns the number after "name=" in a prompt, or the default.
double directive(const std::string &Prompt, const std::string &Name,
                 double Default) {
  size_t At = Prompt.find(Name + "=");
  if (At == std::string::npos)
    return Default;
  return std::atof(Prompt.c_str() + At + Name.size() + 1);
}

std::string promptOf(const json &Body) {
  std::string Text;
  for (const json &Message : Body.value("messages", json::array()))
    if (Message.contains("content") && Message["content"].is_string())
      Text += Message["content"].get<std::string>();
  return Text;
}

double unitHash(const std::string &Text) {
  return double(checksum(Text) % 10007) / 10007.0;
}

} // namespace

stand_in::stand_in(struct ev_loop *Loop, stand_in_options NewOptions)
    : Loop(Loop), Options(std::move(NewOptions)),
      Server(Loop, {.MaxBodyBytes = 64 << 20, .MaxConnections = 10000},
             [this](const exchange &Exchange) { handle(Exchange); }),
      Prepare(Loop,
              [this] {
                for (auto It : std::exchange(Dead, {}))
                  Generations.erase(It);
              }),
      Loading(Loop, [this] { loadNext(); }) {}

void stand_in::handle(const exchange &Exchange) {
  const std::string &Path = Exchange->path();
  if (Path == "/v1/chat/completions")
    return generate(Exchange);
  if (Path == "/v1/ratings")
    return rate(Exchange);
  if (Path == "/load")
    return Exchange->reply(
        200, Json,
        json({{"running", Generations.size()},
              {"waiting", 0},
              {"kv_cache_usage",
               std::min(1.0, double(Generations.size()) / 64)}})
            .dump());
  if (Path == "/models")
    return models(Exchange);
  if (Path == "/stand-in")
    return control(Exchange);
  serve(Exchange);
}

// Returns the score of a response: the model's quality, varied by up to 0.1
// with a hash of prompt and model.
double stand_in::quality(const std::string &Model,
                         const std::string &Prompt) const {
  auto It = Qualities.find(Model);
  double Base = It == Qualities.end() ? 0.9 : It->second;
  return std::clamp(Base + 0.2 * (unitHash(Prompt + Model) - 0.5), 0.0, 1.0);
}

void stand_in::generate(const exchange &Exchange) {
  json Body = json::parse(Exchange->body(), nullptr, false);
  if (!Body.is_object())
    return Exchange->reply(400, Json, "{\"error\":\"bad body\"}");
  std::string Prompt = promptOf(Body);
  std::string Model = Body.value("model", "");
  if (Managed && !Loaded.contains(Model)) {
    ++Unheld;
    return Exchange->reply(404, Json, "{\"error\":\"no such model here\"}");
  }
  ++Started;
  ++Runs[Model];
  if (directive(Prompt, "crash", 0) > 0) {
    Crashes = true;
    return; // The client gets no response.
  }
  auto Fails = Failing.find(Model);
  int Status = int(directive(Prompt, "fail", 0));
  if (Fails != Failing.end())
    Status = Fails->second;
  if (Status)
    return Exchange->reply(Status, Json, "{\"error\":\"failure requested\"}");
  generation &G =
      Generations.emplace_back(Loop, [this](generation &Self) { step(Self); });
  generation *Raw = &G;
  G.Exchange = Exchange;
  G.Model = Model;
  G.Stream = Body.value("stream", false);
  G.Tokens = int(directive(Prompt, "tokens", Options.Tokens));
  G.CutAfter = int(directive(Prompt, "cut", -1));
  G.ShortAfter = int(directive(Prompt, "short", -1));
  G.Gap = directive(Prompt, "gap", Options.GapSeconds * 1e3) * 1e-3;
  G.PromptTokens = size_t(double(Prompt.size()) / BytesPerToken) + 1;
  G.Text = "[score=" + std::to_string(quality(Model, Prompt)) + "]";
  Exchange->OnGone = [this, Raw] {
    ++Cancelled;
    drop(*Raw);
  };
  G.Pad = size_t(directive(Prompt, "pad", 0));
  Exchange->OnDrained = [this](size_t Chunks) { Taken += Chunks; };
  if (G.Stream)
    Exchange->startStream(200, "text/event-stream");
  G.Timer.startOnce(
      directive(Prompt, "first", Options.FirstTokenSeconds * 1e3) * 1e-3);
}

json stand_in::usageOf(const generation &G) const {
  return {{"prompt_tokens", G.PromptTokens},
          {"completion_tokens", G.Sent},
          {"total_tokens", G.PromptTokens + size_t(G.Sent)},
          {"prompt_tokens_details", {{"cached_tokens", 0}}}};
}

void stand_in::step(generation &G) {
  if (G.CutAfter >= 0 && G.Sent >= G.CutAfter) {
    G.Exchange->OnGone = nullptr;
    if (!G.Stream)
      G.Exchange->startStream(200, Json);
    G.Exchange->abort();
    return drop(G);
  }
  if (G.ShortAfter >= 0 && G.Sent >= G.ShortAfter) {
    G.Exchange->OnGone = nullptr;
    G.Exchange->finish();
    return drop(G);
  }
  if (G.Sent >= G.Tokens)
    return finish(G);
  std::string Word = G.Sent == 0 ? G.Text : " w" + std::to_string(G.Sent);
  ++G.Sent;
  if (G.Stream)
    G.Exchange->write(
        std::string(G.Pad ? ": " + std::string(G.Pad, '.') + "\n\n" : "") +
        "data: " +
        json({{"object", "chat.completion.chunk"},
              {"model", G.Model},
              {"choices", {{{"index", 0}, {"delta", {{"content", Word}}}}}}})
            .dump() +
        "\n\n");
  else if (G.Sent > 1)
    G.Text += Word;
  G.Timer.startOnce(G.Gap);
}

void stand_in::finish(generation &G) {
  ++Finished;
  G.Exchange->OnGone = nullptr;
  if (G.Stream) {
    G.Exchange->write("data: " +
                      json({{"object", "chat.completion.chunk"},
                            {"choices", json::array()},
                            {"usage", usageOf(G)}})
                          .dump() +
                      "\n\ndata: [DONE]\n\n");
    G.Exchange->finish();
  } else {
    json Message = {{"role", "assistant"}, {"content", G.Text}};
    G.Exchange->reply(200, Json,
                      json({{"object", "chat.completion"},
                            {"model", G.Model},
                            {"choices",
                             {{{"index", 0},
                               {"message", Message},
                               {"finish_reason", "stop"}}}},
                            {"usage", usageOf(G)}})
                          .dump());
  }
  drop(G);
}

void stand_in::drop(generation &G) {
  G.Timer.stop();
  for (auto It = Generations.begin(); It != Generations.end(); ++It)
    if (&*It == &G && std::find(Dead.begin(), Dead.end(), It) == Dead.end())
      Dead.push_back(It);
}

void stand_in::rate(const exchange &Exchange) {
  json Body = json::parse(Exchange->body(), nullptr, false);
  std::string Answer = Body.is_object() ? Body.value("answer", "") : "";
  size_t At = Answer.find("[score=");
  if (RatingsOff || At == std::string::npos)
    return Exchange->reply(503, Json, "{\"error\":\"no rating\"}");
  ++Rated;
  double Score = std::atof(Answer.c_str() + At + 7);
  Exchange->reply(200, Json, json({{"score", Score}}).dump());
}

// The plain service. Counts the runs by Idempotency-Key.
void stand_in::serve(const exchange &Exchange) {
  std::string Key = Exchange->header("Idempotency-Key");
  ++Started;
  uint64_t Run = ++Runs["service " + Key];
  const std::string &Body = Exchange->body();
  std::string Reply =
      json({{"service", true},
            {"method", Exchange->method()},
            {"path", Exchange->path()},
            {"key", Key},
            {"run", Run},
            {"pad", std::string(size_t(directive(Body, "pad", 0)), '.')}})
          .dump();
  double Wait = directive(Body, "first", 0) * 1e-3;
  if (Wait <= 0) {
    ++Finished;
    return Exchange->reply(200, Json, Reply);
  }
  generation *Raw =
      &Generations.emplace_back(Loop, [this, Reply](generation &Self) {
        ++Finished;
        Self.Exchange->OnGone = nullptr;
        Self.Exchange->reply(200, Json, Reply);
        drop(Self);
      });
  Raw->Exchange = Exchange;
  Exchange->OnGone = [this, Raw] {
    ++Cancelled;
    drop(*Raw);
  };
  Raw->Timer.startOnce(Wait);
}

// The loaded versions. GET returns them; PUT orders other versions with a
// fencing token.
void stand_in::models(const exchange &Exchange) {
  json Body = json::parse(Exchange->body(), nullptr, false);
  if (Exchange->method() == "PUT") {
    bool Stale = Body["fence"].get<uint64_t>() < Fence;
    StaleOrders += Stale ? 1 : 0;
    if (Stale)
      return Exchange->reply(
          409, Json, json({{"fence", Fence}, {"loaded", Loaded}}).dump());
    Managed = true;
    Fence = Body["fence"];
    Wanted = Body["models"].get<std::set<std::string>>();
    std::erase_if(Loaded,
                  [&](const auto &Name) { return !Wanted.contains(Name); });
    Loading.startOnce(Options.LoadSeconds);
  }
  Exchange->reply(200, Json,
                  json({{"fence", Fence}, {"loaded", Loaded}}).dump());
}

void stand_in::loadNext() {
  for (const std::string &Name : Wanted)
    if (Loaded.insert(Name).second)
      return Loading.startOnce(Options.LoadSeconds);
}

// GET returns the counters; PUT sets qualities and failing models, turns
// ratings on or off, and can make the engine forget its models.
void stand_in::control(const exchange &Exchange) {
  json Body = json::parse(Exchange->body(), nullptr, false);
  if (Body.is_object()) {
    json Given = Body.value("qualities", json::object());
    for (const auto &[Model, Quality] : Given.items())
      Qualities[Model] = Quality.get<double>();
    json Broken = Body.value("failing", json::object());
    for (const auto &[Model, Status] : Broken.items()) {
      if (Status.get<int>())
        Failing[Model] = Status.get<int>();
      else
        Failing.erase(Model);
    }
    RatingsOff = Body.value("ratings_off", RatingsOff);
    // Simulates a restart of the engine.
    if (Body.value("forget_models", false)) {
      Fence = 0;
      Wanted.clear();
      Loaded.clear();
    }
  }
  Exchange->reply(200, Json,
                  json({{"started", Started},
                        {"finished", Finished},
                        {"cancelled", Cancelled},
                        {"rated", Rated},
                        {"taken", Taken},
                        {"running", Generations.size()},
                        {"fence", Fence},
                        {"loaded", Loaded},
                        {"stale_orders", StaleOrders},
                        {"unheld", Unheld},
                        {"runs", Runs}})
                      .dump());
}

} // namespace olivevalve
