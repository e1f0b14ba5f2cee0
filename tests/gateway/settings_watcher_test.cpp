// Changes of the settings file while a gateway runs.
#include "gateway/gateway_fixture.h"
#include "gateway/process/settings_watcher.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdio>
#include <fstream>

#include <unistd.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

std::string makeFile() {
  char Path[] = "/tmp/ebonyvale-watched-XXXXXX";
  const int File = mkstemp(Path);
  cr_assert(File >= 0);
  close(File);
  return Path;
}

/// A settings file and the settings that were read from it.
class watched_file {
public:
  explicit watched_file(const std::string &Text) {
    write(Text);
    auto Loaded = loadGatewaySettings(Path, Overrides);
    cr_assert(Loaded);
    Settings = *Loaded;
  }
  ~watched_file() { std::remove(Path.c_str()); }

  void write(const std::string &Text) {
    std::ofstream(Path) << "[store]\nendpoint = \"127.0.0.1:1\"\n" << Text;
  }

  std::string Path = makeFile();
  std::vector<std::string> Overrides{"limits.slack=7"};
  gateway_settings Settings;
  event_base_ptr Base{event_base_new()};
  event_log Log{Base.get(), "off", 1};
  int Changes = 0;
  settings_watcher Watcher{Base.get(), Log,      Path,
                           Overrides,  Settings, [this] { ++Changes; }};
};

struct change_row {
  char Text[96];
  std::int64_t KeyBoundMs;
  int Changes;
};

constexpr const char *First = "[bounds]\nkey_ms = 4000\n";

} // namespace

ParameterizedTestParameters(settings_watcher, reload) {
  static change_row Rows[] = {
      {"[bounds]\nkey_ms = 4000\n", 4000, 0},
      {"[bounds]\nkey_ms = 3000\n", 3000, 1},
      {"[bounds]\nkey_ms = 3000\n[instance]\nname = \"other\"\n", 3000, 1},
      {"[instance]\nname = \"other\"\n[bounds]\nkey_ms = 4000\n", 4000, 0},
      {"[bounds]\nkey_ms = \"x\"\n", 4000, 0},
      {"[bounds]\nkey_ms = 3000\n[limits]\nexcess = -1\n", 4000, 0},
      {"[bounds\n", 4000, 0},
      {"[limits]\nslack = 9\n[bounds]\nkey_ms = 4000\n", 4000, 0},
  };
  return criterion_test_params(Rows);
}

/// A file with an error changes nothing, settings of the start keep their
/// values, and the command line goes before the file.
ParameterizedTest(change_row *Row, settings_watcher, reload) {
  watched_file File(First);
  File.write(Row->Text);
  File.Watcher.reload();
  cr_assert(File.Settings.KeyBoundMs == Row->KeyBoundMs);
  cr_assert(File.Changes == Row->Changes);
  cr_assert(File.Settings.InstanceName == gateway_settings{}.InstanceName);
  cr_assert(File.Settings.LimitSlackTokens == 7);
}

Test(settings_watcher, a_change_without_a_signal_is_noticed) {
  watched_file File(First);
  File.write("[bounds]\nkey_ms = 2500\n");
  cr_assert(runLoopUntil(File.Base.get(), [&] { return File.Changes == 1; }));
  cr_assert(File.Settings.KeyBoundMs == 2500);
}

/// A change of a limit's tolerance changes the quota share, and refills
/// nothing.
Test(settings_watcher, a_quota_share_keeps_what_it_holds) {
  gateway_settings Settings = gateway_fixture::testSettings();
  gateway_fixture Gateway(Settings);
  Gateway.configure(2, "\"key-1\"", /*Rate=*/1000);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  for (int Index = 0; Index < 20; ++Index)
    Gateway.sendRequest({.Path = "/read/1", .Id = std::to_string(Index)});
  const double Before = Gateway.core().shares().available("t", readBootClock());
  Gateway.settings().LimitExcess = 0.2;
  Gateway.core().onSettingsChanged(readBootClock());
  const instant Now = readBootClock();
  const double After = Gateway.core().shares().available("t", Now);
  // At most what accrues within a second.
  cr_assert(After <= Before + 1200, "%.0f, then %.0f", Before, After);
  Gateway.settings().KeyBoundMs = 1000;
  Gateway.core().onSettingsChanged(Now);
  cr_assert(Gateway.core().freshnessOptions().MaxKeyAge == 1s);
}
