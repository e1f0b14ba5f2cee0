// A gateway starts on the settings of any contract, and uses its figures.
#include "gateway/gateway_fixture.h"
#include "gateway/settings_template.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdio>
#include <fstream>

#include <unistd.h>

using namespace ebonyvale;

namespace {

using nlohmann::json;

/// A change of one figure of the contract, and its effect on the settings.
struct contract_row {
  char Figure[24];  ///< name in the contract
  char Value[16];   ///< as JSON; empty: the contract does not state it
  char Setting[48]; ///< name and value as printed by `writeFields`
};

json deploymentFields() {
  return json::parse(R"({
    "nodeName": "i-1", "ip": "127.0.0.1", "zone": "z",
    "zones": {"z": "r", "y": "r"},
    "bind": {"frontend": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
    "provider": {"address": "127.0.0.1:1"},
    "contractParams": {"revokeMs": 5000, "configApplyMs": 4000,
      "transitMs": 250, "leaseMs": 3000, "versionMs": 12000, "graceS": 8,
      "budgetRatio": 0.2, "retrySlack": 630, "budgetWindowS": 10,
      "quotaExcess": 0.1, "quotaSlack": 110000}})");
}

result<gateway_settings> settingsOf(const json &Fields) {
  char Path[] = "/tmp/ebonyvale-settings-XXXXXX";
  const int File = mkstemp(Path);
  cr_assert(File >= 0);
  close(File);
  std::ofstream(Path) << renderTemplate(readSettingsTemplate(), Fields);
  auto Settings = loadGatewaySettings(Path, {});
  std::remove(Path);
  return Settings;
}

} // namespace

ParameterizedTestParameters(contract_settings, a_gateway_starts_on_any_figure) {
  static contract_row Rows[] = {
      {"revokeMs", "5000", "bounds.key_ms = 5000\n"},
      {"revokeMs", "4999.9", "bounds.key_ms = 4999\n"},
      {"revokeMs", "0", "bounds.key_ms = 0\n"},
      {"revokeMs", "900000000", "bounds.key_ms = 900000000\n"},
      {"revokeMs", "", "bounds.key_ms = 5000\n"},
      {"configApplyMs", "2500.5", "bounds.apply_ms = 2500\n"},
      {"configApplyMs", "0", "bounds.apply_ms = 0\n"},
      {"configApplyMs", "", "bounds.apply_ms = 2500\n"},
      {"transitMs", "249.2", "bounds.transit_ms = 250\n"},
      {"transitMs", "", "bounds.transit_ms = 200\n"},
      {"leaseMs", "3000.1", "bounds.issuer_ms = 3001\n"},
      {"leaseMs", "0", "bounds.issuer_ms = 0\n"},
      {"leaseMs", "", "bounds.issuer_ms = 3000\n"},
      {"versionMs", "8000.75", "bounds.weights_ms = 8000\n"},
      {"versionMs", "", "bounds.weights_ms = 10000\n"},
      {"graceS", "8", "stop.grace_s = 8\n"},
      {"graceS", "7.5", "stop.grace_s = 7.5\n"},
      {"graceS", "0", "stop.grace_s = 0\n"},
      {"graceS", "86400", "stop.grace_s = 86400\n"},
      {"graceS", "", "stop.grace_s = 8\n"},
      {"budgetRatio", "0.35", "retries.ratio = 0.35\n"},
      {"budgetRatio", "0", "retries.ratio = 0\n"},
      {"budgetRatio", "1", "retries.ratio = 1\n"},
      {"budgetRatio", "", "retries.ratio = 0.2\n"},
      {"retrySlack", "57.9", "retries.slack = 57\n"},
      {"retrySlack", "0", "retries.slack = 0\n"},
      {"retrySlack", "", "retries.slack = 50\n"},
      {"budgetWindowS", "2.5", "retries.window_s = 2.5\n"},
      {"budgetWindowS", "", "retries.window_s = 10\n"},
      {"quotaExcess", "0.05", "limits.excess = 0.05\n"},
      {"quotaExcess", "0", "limits.excess = 0\n"},
      {"quotaExcess", "", "limits.excess = 0.1\n"},
      {"quotaSlack", "72000.5", "limits.slack = 72000\n"},
      {"quotaSlack", "", "limits.slack = 0\n"},
      {"exposeShare", "0.1", "releases.expose_share = 0.1\n"},
      {"exposeShare", "0", "releases.expose_share = 0\n"},
      {"exposeShare", "1", "releases.expose_share = 1\n"},
      {"exposeShare", "", "releases.expose_share = 0\n"},
      {"canarySlack", "50.9", "releases.canary_slack = 50\n"},
      {"canarySlack", "", "releases.canary_slack = 0\n"},
      {"rollbackMs", "5000.5", "releases.rollback_ms = 5000\n"},
      {"rollbackMs", "", "releases.rollback_ms = 5000\n"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(contract_row *Row, contract_settings,
                  a_gateway_starts_on_any_figure) {
  json Fields = deploymentFields();
  json &Contract = Fields["contractParams"];
  if (Row->Value[0] != 0)
    Contract[Row->Figure] = json::parse(Row->Value);
  else
    Contract.erase(Row->Figure);
  auto Settings = settingsOf(Fields);
  cr_assert(Settings, "%s", Settings ? "" : Settings.error().Detail.c_str());
  const std::string Printed =
      writeFields(bindFields(gatewaySettingFields(), *Settings), false);
  cr_assert(Printed.find(Row->Setting) != std::string::npos, "%s",
            Printed.c_str());
  Settings->PeerEndpoint = "127.0.0.1:0";
  Settings->MetricsEndpoint = "127.0.0.1:0";
  Settings->LogLevel = "off";
  const event_base_ptr Base(event_base_new());
  fake_fleet_store Store(Base.get());
  const platform::documents Documents;
  const platform::caller_messages Callers;
  const platform::upstream_messages Messages;
  gateway_task Gateway(
      Base.get(), *Settings, {Documents, Callers, Messages},
      [&Store](client_connection_pool &, const endpoint &, span_ns) {
        return std::make_unique<fake_fleet_store_client>(Store, "i-1");
      });
  cr_assert(!Gateway.start());
}

/// The margin of the age of a key includes the time to an upstream.
Test(contract_settings, a_slower_network_leaves_less_time_for_a_key) {
  json Fields = deploymentFields();
  Fields["contractParams"]["transitMs"] = 1200;
  auto Settings = settingsOf(Fields);
  cr_assert(Settings);
  gateway_settings Slow = gateway_fixture::testSettings();
  Slow.KeyBoundMs = Settings->KeyBoundMs;
  Slow.TransitMs = Settings->TransitMs;
  gateway_fixture Gateway(Slow);
  cr_assert(Gateway.core().freshnessOptions().KeyAgeMargin ==
            std::chrono::milliseconds(1300));
}

/// A bound near zero causes no continuous calls to the store.
Test(contract_settings, short_bounds_leave_a_pause_between_store_calls) {
  gateway_settings Settings;
  Settings.KeyBoundMs = 0;
  Settings.ApplyBoundMs = 0;
  cr_assert(watchPause(Settings) >= std::chrono::milliseconds(50));
  cr_assert(readInterval(Settings) >= std::chrono::milliseconds(50));
}

/// Dividing room has served callers worse so far, so no contract asks for it.
Test(contract_settings, no_contract_turns_features_on) {
  json Fields = deploymentFields();
  Fields["contracts"] = {"base", "pressure", "platform"};
  const auto Settings = settingsOf(Fields);
  cr_assert(Settings, "%s", Settings ? "" : Settings.error().Detail.c_str());
  cr_assert(!hasPressure(*Settings));
}
