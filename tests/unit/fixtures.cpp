//===- fixtures.cpp - Small catalogs and commands -------------------------===//

#include "tests/unit/fixtures.h"
#include "base/error.h"
#include "boost/test/unit_test.hpp"

namespace olivevalve {

wire::change_set put(const std::string &Kind, const std::string &Name,
                     const std::string &Document) {
  wire::change_set Set;
  wire::config_change *Change = Set.add_changes();
  Change->set_kind(Kind);
  Change->set_name(Name);
  Change->set_document(Document);
  return Set;
}

catalog smallCatalog() {
  catalog Catalog;
  wire::change_set Set = put("model", "m", R"({"versions":{"1":{},"2":{}}})");
  Set.MergeFrom(put("service", "led", R"({"path_prefix":"/led/"})"));
  Set.MergeFrom(
      put("account", "acc", R"({"models":["m@1"],"services":["led"]})"));
  Set.MergeFrom(put("upstream", "u",
                    R"({"address":"127.0.0.1:1","data_hall":"h",
                        "versions":["m@1","m@2"]})"));
  Set.MergeFrom(put("upstream", "s",
                    R"({"address":"127.0.0.1:2","data_hall":"h",
                        "service":"led"})"));
  absl::Status Status = Catalog.applyChanges(Set, 5);
  BOOST_REQUIRE_MESSAGE(Status.ok(), messageOf(Status));
  return Catalog;
}

std::string commandText(const std::function<void(wire::command &)> &Fill) {
  wire::command Command;
  Command.set_wall_seconds(1000);
  Fill(Command);
  return Command.SerializeAsString();
}

wire::claim claimOf(const std::string &Key, const std::string &Value) {
  wire::claim Claim;
  Claim.set_space("request");
  Claim.set_account("a");
  Claim.set_key(Key);
  Claim.set_value(Value);
  return Claim;
}

} // namespace olivevalve
