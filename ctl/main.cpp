//===- main.cpp - olivevalvectl -------------------------------------------===//

#include "absl/strings/str_split.h"
#include "base/error.h"
#include "ctl/commands.h"
#include <cstdio>
#include <curl/curl.h>
#include <popt.h>

namespace {

using namespace olivevalve;

constexpr int ExitUsage = 2;

// Control may answer with fields of another type, or something else may answer.
absl::Status run(const command_entry &Command, const command_options &Options) {
  try {
    return Command.Run(Options);
  } catch (const json::exception &Error) {
    return makeError(error_kind::BadRequest,
                     std::string(Command.Name) +
                         ": unexpected value: " + Error.what());
  }
}

void printHelp() {
  std::printf("usage: olivevalvectl [OPTIONS] COMMAND [ARGUMENTS]\n\n");
  for (const command_entry &Entry : commandTable())
    std::printf("  %-14s %s\n", std::string(Entry.Name).c_str(),
                std::string(Entry.Help).c_str());
  std::printf(
      "\nOptions:\n"
      "  -c, --control ADDRESSES  operator addresses of the control VMs, "
      "IP:port,...\n"
      "                           (default: $OLIVEVALVE_CONTROL)\n"
      "  -k, --key-file FILE      file with the operator key (default: the key "
      "in\n"
      "                           $OLIVEVALVE_KEY)\n"
      "  -o, --output table|json\n"
      "  -f, --file FILE\n"
      "      --change-id ID       send the change under this id; a retry "
      "under\n"
      "                           the same id is applied only once\n"
      "      --timeout SECONDS    default 30\n"
      "      --count N            watch: stop after N changes\n\n"
      "Exit codes: 0 success, 1 refused or failed, 2 invalid usage, 3 conflict "
      "with\nanother change, 4 no control VM answered in time.\n");
}

void printCommandHelp(const command_entry &Entry) {
  std::printf("usage: olivevalvectl %s %s\n%s\n",
              std::string(Entry.Name).c_str(), std::string(Entry.Usage).c_str(),
              std::string(Entry.Help).c_str());
}

const command_entry *findCommand(std::string_view Name) {
  for (const command_entry &Entry : commandTable())
    if (Entry.Name == Name)
      return &Entry;
  return nullptr;
}

// Copies an option's text, empty if null, and frees it.
std::string takeText(char *Text) {
  std::string Out = Text ? Text : "";
  std::free(Text);
  return Out;
}

/// The parsed command line; Error is empty if it is valid.
struct parsed_line {
  command_options Options;
  std::string Command;
  bool Help = false;
  std::string Error;
};

parsed_line parseLine(int Count, const char **Values) {
  char *Control = nullptr;
  char *KeyFile = nullptr;
  char *Output = nullptr;
  char *File = nullptr;
  char *ChangeId = nullptr;
  int Help = 0;
  parsed_line Line;
  const poptOption Table[] = {
      {"control", 'c', POPT_ARG_STRING, &Control, 0, nullptr, nullptr},
      {"key-file", 'k', POPT_ARG_STRING, &KeyFile, 0, nullptr, nullptr},
      {"output", 'o', POPT_ARG_STRING, &Output, 0, nullptr, nullptr},
      {"file", 'f', POPT_ARG_STRING, &File, 0, nullptr, nullptr},
      {"change-id", 0, POPT_ARG_STRING, &ChangeId, 0, nullptr, nullptr},
      {"timeout", 0, POPT_ARG_DOUBLE, &Line.Options.Client.TimeoutSeconds, 0,
       nullptr, nullptr},
      {"count", 0, POPT_ARG_INT, &Line.Options.Count, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &Help, 0, nullptr, nullptr},
      POPT_TABLEEND};
  poptContext Context =
      poptGetContext("olivevalvectl", Count, Values, Table, 0);
  int Code = poptGetNextOpt(Context);
  if (Code < -1)
    Line.Error =
        std::string(poptBadOption(Context, 0)) + ": " + poptStrerror(Code);
  while (const char *Argument = poptGetArg(Context)) {
    if (Line.Command.empty())
      Line.Command = Argument;
    else
      Line.Options.Arguments.emplace_back(Argument);
  }
  poptFreeContext(Context);
  Line.Help = Help != 0;
  std::string Addresses = takeText(Control);
  const char *Variable = std::getenv("OLIVEVALVE_CONTROL");
  if (Addresses.empty() && Variable)
    Addresses = Variable;
  Line.Options.Client.Control =
      absl::StrSplit(Addresses, ',', absl::SkipEmpty());
  Line.Options.File = takeText(File);
  Line.Options.ChangeId = takeText(ChangeId);
  std::string Format = takeText(Output);
  Line.Options.Json = Format == "json";
  if (!Format.empty() && Format != "json" && Format != "table")
    Line.Error = "--output: is " + Format + ", must be table or json";
  std::string Path = takeText(KeyFile);
  const char *Key = std::getenv("OLIVEVALVE_KEY");
  if (Path.empty())
    Line.Options.Client.Key = Key ? Key : "";
  else if (auto Text = readFile(Path); Text.ok())
    Line.Options.Client.Key =
        Text->substr(0, Text->find_last_not_of("\n ") + 1);
  else
    Line.Error = std::string(messageOf(Text.status()));
  return Line;
}

bool needsControl(std::string_view Command) {
  return Command != "check" && Command != "key" && Command != "link-keys";
}

} // namespace

int main(int Count, const char **Values) {
  parsed_line Line = parseLine(Count, Values);
  const command_entry *Command = findCommand(Line.Command);
  if (Line.Error.empty() && Line.Help) {
    if (Command)
      printCommandHelp(*Command);
    else
      printHelp();
    return 0;
  }
  if (Line.Error.empty() && !Command)
    Line.Error = Line.Command.empty()
                     ? "a command is required; see --help"
                     : Line.Command + ": unknown command; see --help";
  if (Line.Error.empty() && needsControl(Line.Command) &&
      Line.Options.Client.Control.empty())
    Line.Error = "--control IP:port or OLIVEVALVE_CONTROL is required";
  if (!Line.Error.empty()) {
    std::fprintf(stderr, "olivevalvectl: %s\n", Line.Error.c_str());
    return ExitUsage;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  absl::Status Status = run(*Command, Line.Options);
  if (!Status.ok())
    std::fprintf(stderr, "olivevalvectl: %s\n",
                 std::string(messageOf(Status)).c_str());
  curl_global_cleanup();
  return exitCodeFor(Status);
}
