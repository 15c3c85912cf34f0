//===- settings.cpp - The daemon's settings file --------------------------===//

#include "daemon/settings.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/fields.h"
#include <arpa/inet.h>
#include <charconv>
#include <set>

namespace olivevalve {

namespace {

// Length of a CURVE key in Z85 text.
constexpr size_t KeyCharacters = 40;
// Of a client account's share of a service.
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;

bool isAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  in_addr Ip{};
  unsigned Port = 0;
  auto Parsed =
      std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(), Port);
  return inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Ip) == 1 &&
         Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size() &&
         Port <= 65535;
}

/// Reads addresses and reports one that is used twice in the same file. Port 0
/// may repeat, as the system then assigns a free port.
class address_reader {
public:
  void read(object_reader &Reader, std::string_view Key, std::string &Out,
            presence Presence) {
    Reader.text(Key, Out, Presence);
    if (Out.empty() || !Reader.has(Key))
      return;
    if (!isAddress(Out))
      return Reader.fault(Key, "is '" + Out + "', must be IP:port");
    if (!Out.ends_with(":0") && !Seen.insert(Out).second)
      Reader.fault(Key, Out + " is used twice in this file");
  }

private:
  std::set<std::string> Seen;
};

void readUrl(object_reader &Reader, std::string_view Key, std::string &Out,
             presence Presence) {
  Reader.text(Key, Out, Presence);
  if (!Out.empty() && !(Out.starts_with("http://") && isAddress(Out.substr(7))))
    Reader.fault(Key, "is '" + Out + "', must be http://IP:port");
}

std::vector<control_peer> readMembers(object_reader &Reader,
                                      fault_list &Faults) {
  std::vector<control_peer> Members;
  std::set<int64_t> Ids;
  Reader.elements(
      "control_members", [&](const json &Value, const std::string &Path) {
        object_reader Each(Value, Path, Faults);
        int64_t Id = 0;
        std::string Address;
        Each.integer("id", Id, {1, 1e6}, presence::Required);
        Each.text("address", Address, presence::Required);
        if (!Address.empty() && !isAddress(Address))
          Each.fault("address", "is '" + Address + "', must be IP:port");
        Each.finish();
        if (!Ids.insert(Id).second)
          Faults.add(Path + ".id", absl::StrCat(Id, " is used twice"));
        Members.push_back({uint64_t(Id), Address});
      });
  if (Members.empty())
    Reader.fault("control_members", "must list at least one control VM");
  return Members;
}

// In units of 10^6 bytes.
void readCallerMemory(object_reader &Reader, size_t &MaxCallerBytes) {
  constexpr double Unit = 1e6;
  double Megabytes = double(MaxCallerBytes) / Unit;
  Reader.number("caller_memory_mb", Megabytes, {16, 1e6});
  MaxCallerBytes = size_t(Megabytes * Unit);
}

entry_options readEntry(object_reader &Reader, address_reader &Addresses) {
  entry_options Entry;
  Addresses.read(Reader, "address", Entry.Address, presence::Required);
  readUrl(Reader, "rating_url", Entry.RatingUrl, presence::Optional);
  Reader.number("default_deadline_seconds", Entry.DefaultDeadlineSeconds,
                {0.1, 3600});
  Reader.integer("max_body_bytes", Entry.MaxBodyBytes, {1024, 64 << 20});
  Reader.integer("max_open_requests", Entry.MaxOpenRequests, {1, 60000});
  readCallerMemory(Reader, Entry.MaxCallerBytes);
  return Entry;
}

sidecar_options readSidecar(object_reader &Reader, address_reader &Addresses) {
  sidecar_options Sidecar;
  Addresses.read(Reader, "address", Sidecar.Address, presence::Required);
  Reader.text("upstream", Sidecar.Upstream, presence::Required);
  readUrl(Reader, "engine_url", Sidecar.EngineUrl, presence::Required);
  return Sidecar;
}

// Reads the operator addresses of some control VMs. All control VMs listen for
// nodes and for each other at the same port, given as "port".
std::vector<control_peer> readSeeds(object_reader &Reader) {
  std::vector<control_peer> Seeds;
  std::vector<std::string> Addresses;
  int64_t Port = 0;
  Reader.texts("operator_addresses", Addresses);
  Reader.integer("port", Port, {1, 65535}, presence::Required);
  if (Addresses.empty())
    Reader.fault("operator_addresses", "must list at least one control VM");
  for (const std::string &Address : Addresses) {
    if (!isAddress(Address)) {
      Reader.fault("operator_addresses",
                   "holds '" + Address + "', must hold IP:port");
      continue;
    }
    std::string LinkAddress =
        absl::StrCat(Address.substr(0, Address.rfind(':') + 1), Port);
    Seeds.push_back({controlIdOf(LinkAddress), LinkAddress});
  }
  return Seeds;
}

// Reads the id, address and voter count of a control VM. With control_members,
// the id is set and selects the address from that list; with control_seeds, the
// address is set, the id derives from it, and the other control VMs are found
// through the seeds.
void readIdentity(object_reader &Reader, address_reader &Addresses,
                  const std::vector<control_peer> &Members, bool HasSeeds,
                  control_options &Control) {
  int64_t Id = 0;
  int64_t Losses = 1;
  int64_t Voters = int64_t(std::max<size_t>(1, Members.size()));
  if (HasSeeds) {
    Addresses.read(Reader, "address", Control.Address, presence::Required);
    Reader.integer("tolerated_losses", Losses, {0, 4});
    Reader.flag("may_start_group", Control.Log.MayBootstrap);
    Control.Log.Id = controlIdOf(Control.Address);
    Control.Log.TargetVoters = size_t(2 * Losses + 1);
    return;
  }
  Reader.integer("id", Id, {1, 1e6}, presence::Required);
  Reader.integer("voters", Voters, {1, 9});
  Control.Log.Id = uint64_t(Id);
  Control.Log.TargetVoters = size_t(Voters);
  for (const control_peer &Member : Members)
    if (Member.Id == Control.Log.Id)
      Control.Address = Member.Address;
  if (Control.Address.empty())
    Reader.fault("id", "is not the id of any member in control_members");
}

duty_options readDuties(object_reader &Reader) {
  duty_options Duties;
  double LeaseMs = Duties.LeaseSeconds * 1000;
  // The platform may serve its list at the same address.
  Reader.text("platform", Duties.PlatformAddress, presence::Required);
  if (!Duties.PlatformAddress.empty() && !isAddress(Duties.PlatformAddress))
    Reader.fault("platform", "must be IP:port");
  Reader.texts("names", Duties.Names);
  Reader.number("lease_ms", LeaseMs, {0, 600000});
  Reader.number("usage_window_seconds", Duties.Usage.WindowSeconds,
                {0.1, 86400});
  Reader.number("usage_delay_seconds", Duties.Usage.DelaySeconds, {0.1, 86400});
  Duties.LeaseSeconds = LeaseMs / 1000;
  bool Expected = std::find(Duties.Names.begin(), Duties.Names.end(),
                            platform::UsageDuty) != Duties.Names.end();
  if (!Expected)
    Duties.Usage.WindowSeconds = 0;
  return Duties;
}

control_options readControl(object_reader &Reader, address_reader &Addresses,
                            const std::vector<control_peer> &Members,
                            bool HasSeeds) {
  control_options Control;
  int64_t SnapshotBytes = int64_t(Control.Log.SnapshotBytes);
  int64_t MaxConcurrentLoads = int64_t(Control.MaxConcurrentLoads);
  readIdentity(Reader, Addresses, Members, HasSeeds, Control);
  Addresses.read(Reader, "operator_address", Control.OperatorAddress,
                 presence::Required);
  Reader.texts("operator_key_digests", Control.OperatorKeyDigests);
  Reader.text("data_folder", Control.Log.Folder, presence::Required);
  Addresses.read(Reader, "upstream_list", Control.UpstreamListAddress,
                 presence::Optional);
  Reader.object("duties", [&](object_reader &Duties) {
    Control.Duties = readDuties(Duties);
  });
  Reader.number("exposure_share", Control.Exposure.Share, {0, 1});
  Reader.number("exposure_slack", Control.Exposure.Slack, {0, 1e6});
  Reader.number("retry_slack", Control.Retries.Slack, {0, 1e6});
  Reader.number("retry_window_seconds", Control.Retries.WindowSeconds,
                {1, 600});
  Reader.number("replace_after_seconds", Control.Log.ReplaceAfterSeconds,
                {1, 86400});
  Reader.integer("snapshot_bytes", SnapshotBytes, {1024, 1 << 30});
  Reader.integer("loads_at_once", MaxConcurrentLoads, {1, 1000});
  readCallerMemory(Reader, Control.MaxCallerBytes);
  Control.Log.Address = Control.Address;
  Control.Log.OperatorAddress = Control.OperatorAddress;
  Control.Log.Peers = Members;
  Control.Log.SnapshotBytes = uint64_t(SnapshotBytes);
  Control.MaxConcurrentLoads = size_t(MaxConcurrentLoads);
  return Control;
}

void readWeights(object_reader &Reader, account_share_options &Shares) {
  Reader.members("account_weights", [&](const std::string &Account,
                                        const json &Weight,
                                        const std::string &) {
    if (!Weight.is_number() || !(Weight.get<double>() >= MinWeight) ||
        !(Weight.get<double>() <= MaxWeight))
      return Reader.fault("account_weights",
                          absl::StrCat("'", Account, "' is ", jsonText(Weight),
                                       ", must be a number from ", MinWeight,
                                       " to ", MaxWeight));
    Shares.Weights[Account] = Weight.get<double>();
  });
}

gateway_options readGateway(object_reader &Reader, address_reader &Addresses) {
  gateway_options Gateway;
  int64_t Connections = int64_t(Gateway.MaxConnections);
  Addresses.read(Reader, "address", Gateway.Address, presence::Required);
  Addresses.read(Reader, "news_address", Gateway.PeerAddress,
                 presence::Optional);
  Reader.text("upstream_list", Gateway.UpstreamListAddress, presence::Required);
  if (!Gateway.UpstreamListAddress.empty() &&
      !isAddress(Gateway.UpstreamListAddress))
    Reader.fault("upstream_list", "must be IP:port");
  Reader.number("list_seconds", Gateway.ListSeconds, {0.1, 60});
  Reader.number("retry_ratio", Gateway.Retries.Ratio, {0, 10});
  Reader.number("retry_slack", Gateway.Retries.Slack, {0, 1e6});
  Reader.number("retry_window_seconds", Gateway.Retries.WindowSeconds,
                {1, 600});
  Reader.number("cold_ratio", Gateway.Cold.Ratio, {0, 100});
  Reader.number("cold_slack", Gateway.Cold.Slack, {0, 1e6});
  Reader.number("limit_ratio", Gateway.Limit.Ratio, {0, 100});
  Reader.number("limit_slack", Gateway.Limit.Slack, {0, 1e6});
  Reader.number("limit_window_seconds", Gateway.Limit.WindowSeconds, {1, 600});
  Reader.number("usage_window_seconds", Gateway.UsageWindowSeconds,
                {0.1, 86400});
  Reader.number("start_seconds", Gateway.StartSeconds, {0, 600});
  Reader.number("session_seconds", Gateway.SessionSeconds, {0.1, 86400});
  Reader.flag("upstream_pace", Gateway.UpstreamPace);
  Reader.integer("max_connections", Connections, {1, 60000});
  readCallerMemory(Reader, Gateway.MaxCallerBytes);
  Reader.flag("engine_memory", Gateway.EngineMemory);
  Gateway.MaxConnections = size_t(Connections);
  Reader.flag("account_shares", Gateway.Shares.Enabled);
  readWeights(Reader, Gateway.Shares);
  return Gateway;
}

absl::StatusOr<std::string> readKey(const std::string &Path) {
  auto Text = readFile(Path);
  if (!Text.ok())
    return Text.status();
  while (!Text->empty() && std::isspace(uint8_t(Text->back())))
    Text->pop_back();
  if (Text->size() != KeyCharacters)
    return makeError(
        error_kind::BadConfiguration,
        Path + ": must hold exactly one key of 40 characters, as written "
               "by 'olivevalvectl link-keys'");
  return Text;
}

} // namespace

std::string settings::roles() const {
  std::string Text;
  auto Add = [&](bool Has, std::string_view Name) {
    if (!Has)
      return;
    if (!Text.empty())
      Text += '+';
    Text += Name;
  };
  Add(Control.has_value(), "control");
  Add(Entry.has_value(), "entry");
  Add(Sidecar.has_value(), "sidecar");
  Add(Gateway.has_value(), "gateway");
  return Text;
}

absl::StatusOr<settings> loadSettings(const std::string &Path) {
  auto Text = readFile(Path);
  if (!Text.ok())
    return Text.status();
  auto Value = parseJson(*Text, Path);
  if (!Value.ok())
    return Value.status();
  fault_list Faults;
  settings Settings;
  address_reader Addresses;
  object_reader Reader(*Value, "", Faults);
  Reader.text("node", Settings.Node, presence::Required);
  Reader.text("data_hall", Settings.DataHall, presence::Required);
  Addresses.read(Reader, "health_address", Settings.HealthAddress,
                 presence::Optional);
  size_t Level = size_t(log_level::Info);
  Reader.choice("log_level", Level, {"debug", "info", "warning", "error"});
  Settings.LogLevel = log_level(Level);
  Reader.number("drain_seconds", Settings.DrainSeconds, {1, 86400});
  Reader.number("unready_seconds", Settings.UnreadySeconds, {0, 600});
  bool HasSeeds = Reader.has("control_seeds");
  std::vector<control_peer> Members;
  if (HasSeeds)
    Reader.object("control_seeds",
                  [&](object_reader &Seeds) { Members = readSeeds(Seeds); });
  else
    Members = readMembers(Reader, Faults);
  Reader.object("keys", [&](object_reader &Keys) {
    key_files Files;
    Keys.text("public_file", Files.Public, presence::Required);
    Keys.text("secret_file", Files.Secret, presence::Required);
    Settings.Keys = Files;
  });
  Reader.object("entry", [&](object_reader &Entry) {
    Settings.Entry = readEntry(Entry, Addresses);
  });
  Reader.object("sidecar", [&](object_reader &Sidecar) {
    Settings.Sidecar = readSidecar(Sidecar, Addresses);
  });
  Reader.object("control", [&](object_reader &Control) {
    Settings.Control = readControl(Control, Addresses, Members, HasSeeds);
  });
  Reader.object("gateway", [&](object_reader &Gateway) {
    Settings.Gateway = readGateway(Gateway, Addresses);
  });
  Reader.finish();
  if (Settings.roles().empty())
    Faults.add(
        "document",
        "must have a role: at least one of entry, sidecar, gateway, control");
  if (HasSeeds && (Settings.Entry || Settings.Sidecar))
    Faults.add("control_seeds",
               "not supported for entry and sidecar; use control_members");
  if (!Faults.empty())
    return makeError(error_kind::BadConfiguration,
                     Faults.textOf(Path, field_lines(*Text)));
  std::vector<control_member_address> Control;
  for (const control_peer &Member : Members)
    Control.push_back({Member.Id, Member.Address});
  if (Settings.Entry) {
    Settings.Entry->Node = Settings.Node;
    Settings.Entry->DataHall = Settings.DataHall;
    Settings.Entry->Control = Control;
  }
  if (Settings.Sidecar) {
    Settings.Sidecar->Node = Settings.Node;
    Settings.Sidecar->DataHall = Settings.DataHall;
    Settings.Sidecar->Control = Control;
  }
  if (Settings.Control)
    Settings.Control->Duties.Node = Settings.Node;
  if (Settings.Gateway) {
    Settings.Gateway->Node = Settings.Node;
    Settings.Gateway->DataHall = Settings.DataHall;
    for (const control_peer &Member : Members)
      Settings.Gateway->ControlSeeds.push_back(Member.Address);
  }
  return Settings;
}

absl::StatusOr<link_keys> loadKeys(const settings &Settings) {
  link_keys Keys;
  if (!Settings.Keys)
    return Keys;
  struct key_target {
    const std::string &Path;
    std::string &Out;
  };
  for (key_target Each : {key_target{Settings.Keys->Public, Keys.PublicKey},
                          key_target{Settings.Keys->Secret, Keys.SecretKey}}) {
    auto Key = readKey(Each.Path);
    if (!Key.ok())
      return Key.status();
    Each.Out = *Key;
  }
  return Keys;
}

} // namespace olivevalve
