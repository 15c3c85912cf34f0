//===- main.cpp - olivevalved ---------------------------------------------===//

#include "base/error.h"
#include "daemon/node.h"
#include <csignal>
#include <cstdio>
#include <cstring>
#include <curl/curl.h>
#include <exception>
#include <popt.h>

namespace {

using namespace olivevalve;

constexpr int ExitUsage = 2;

// A changed settings file is reloaded within this time, even without SIGHUP.
constexpr double SettingsPollSeconds = 2;
// The last lines of the log may take this long to be written. Short beside the
// time between the end of a drain and the platform's SIGKILL.
constexpr double LogFlushSeconds = 0.2;

struct arguments {
  std::string Settings;
  bool Check = false;
};

/// Value of the environment variable \p Name, a path, as a new C string; null
/// if it is unset or empty.
char *fileFromEnvironment(const char *Name) {
  const char *Path = Name ? std::getenv(Name) : nullptr;
  return Path && *Path ? strdup(Path) : nullptr;
}

// Exits with ExitUsage and a message if the command line is invalid.
arguments readArguments(int Count, const char **Values) {
  char *Path = nullptr;
  char *Variable = nullptr;
  int Check = 0;
  const poptOption Table[] = {
      {"settings", 's', POPT_ARG_STRING, &Path, 0, "Settings file", "FILE"},
      {"check", 0, POPT_ARG_STRING, &Path, 'c',
       "Check FILE, report all errors and exit", "FILE"},
      {"settings-env", 0, POPT_ARG_STRING, &Variable, 0,
       "Environment variable that holds the path of the settings file", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Options = poptGetContext("olivevalved", Count, Values, Table, 0);
  int Code = 0;
  while ((Code = poptGetNextOpt(Options)) > 0)
    Check = Code == 'c' ? 1 : Check;
  if (!Path)
    Path = fileFromEnvironment(Variable);
  std::free(Variable);
  if (Code < -1 || !Path || poptPeekArg(Options)) {
    std::fprintf(stderr, "olivevalved: %s\n",
                 Code < -1 ? poptStrerror(Code)
                           : "usage: olivevalved --settings FILE | "
                             "--settings-env NAME | --check FILE");
    poptFreeContext(Options);
    std::exit(ExitUsage);
  }
  arguments Arguments{Path, Check != 0};
  std::free(Path);
  poptFreeContext(Options);
  return Arguments;
}

// An exception leaves state half changed, so the process ends and starts anew.
[[noreturn]] void endOnException() {
  std::string What = "none";
  try {
    if (std::exception_ptr Thrown = std::current_exception())
      std::rethrow_exception(Thrown);
  } catch (const std::exception &Error) {
    What = Error.what();
  } catch (...) {
    What = "of a type that is not a std::exception";
  }
  logLine(log_level::Error, "process ends after an unexpected exception",
          {{"exception", What}});
  flushLog(LogFlushSeconds);
  std::abort();
}

int fail(const absl::Status &Status) {
  std::fprintf(stderr, "olivevalved: %s\n",
               std::string(messageOf(Status)).c_str());
  return ExitUsage;
}

/// Reloads the settings file on SIGHUP and when the file has changed.
class settings_watch {
public:
  settings_watch(struct ev_loop *Loop, node &Node, std::string NewPath)
      : Loop(Loop), Node(Node), Path(std::move(NewPath)) {
    ev_stat_init(
        &File,
        [](struct ev_loop *, ev_stat *W, int) {
          static_cast<settings_watch *>(W->data)->reload();
        },
        Path.c_str(), SettingsPollSeconds);
    ev_signal_init(
        &Hangup,
        [](struct ev_loop *, ev_signal *W, int) {
          static_cast<settings_watch *>(W->data)->reload();
        },
        SIGHUP);
    File.data = Hangup.data = this;
    ev_stat_start(Loop, &File);
    ev_signal_start(Loop, &Hangup);
  }
  // The SIGHUP watcher is left running on purpose; the loop no longer runs, so
  // it has no effect. Stopping it would restore the default action of SIGHUP
  // for a moment: that killed 6 of 10 processes that received a series of
  // SIGHUPs while they exited.
  ~settings_watch() { ev_stat_stop(Loop, &File); }
  settings_watch(const settings_watch &) = delete;
  settings_watch &operator=(const settings_watch &) = delete;

private:
  // An invalid file is logged and ignored; the present settings stay in effect.
  void reload() {
    auto Settings = loadSettings(Path);
    if (Settings.ok())
      return Node.reload(*Settings);
    logLine(log_level::Error, "settings not reloaded",
            {{"error", messageOf(Settings.status())}});
  }

  struct ev_loop *Loop;
  node &Node;
  std::string Path;
  ev_stat File{};
  ev_signal Hangup{};
};

void onSignal(struct ev_loop *, ev_signal *Watcher, int) {
  static_cast<node *>(Watcher->data)->stop();
}

} // namespace

int main(int Count, const char **Values) {
  // A SIGHUP would kill the process until its handler is installed. Ignoring it
  // until then loses nothing, as the settings are about to be read.
  std::signal(SIGHUP, SIG_IGN);
  arguments Arguments = readArguments(Count, Values);
  auto Settings = loadSettings(Arguments.Settings);
  if (!Settings.ok())
    return fail(Settings.status());
  auto Keys = loadKeys(*Settings);
  if (!Keys.ok())
    return fail(Keys.status());
  if (Arguments.Check) {
    std::printf("%s: valid; roles: %s\n", Arguments.Settings.c_str(),
                Settings->roles().c_str());
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // With SIGXFSZ ignored, a write beyond the file size limit fails with EFBIG
  // and is handled like any failed write.
  std::signal(SIGXFSZ, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  std::set_terminate(endOnException);
  startLog({Settings->Node, Settings->roles(), Settings->DataHall},
           Settings->LogLevel);
  struct ev_loop *Loop = ev_default_loop(0);
  int Code = 0;
  {
    node Node(Loop, *Settings, *std::move(Keys));
    if (absl::Status Status = Node.start(); !Status.ok()) {
      flushLog(LogFlushSeconds);
      return fail(Status);
    }
    settings_watch Watch(Loop, Node, Arguments.Settings);
    ev_signal Term{};
    ev_signal Int{};
    ev_signal_init(&Term, onSignal, SIGTERM);
    ev_signal_init(&Int, onSignal, SIGINT);
    Term.data = Int.data = &Node;
    ev_signal_start(Loop, &Term);
    ev_signal_start(Loop, &Int);
    ev_run(Loop, 0);
    Code = Node.exitCode();
  }
  curl_global_cleanup();
  flushLog(LogFlushSeconds);
  return Code;
}
