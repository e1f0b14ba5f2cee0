/// \file
/// ebonyvale-bench: benchmarks that run on one machine.
#include "bench/decision_bench.h"
#include "bench/limit_bench.h"
#include "bench/proxy_bench.h"

#include <functional>
#include <iostream>
#include <map>
#include <string>

namespace {

constexpr int ExitUsage = 2;

const std::map<std::string, std::function<void(std::ostream &)>> Benches{
    {"limits", ebonyvale::runLimitBench},
    {"decisions", ebonyvale::runDecisionBench},
    {"capacity", ebonyvale::runCapacityBench},
    {"proxy", ebonyvale::runProxyBench},
};

} // namespace

int main(int Count, char **Arguments) {
  const auto Found = Count == 2 ? Benches.find(Arguments[1]) : Benches.end();
  if (Found == Benches.end()) {
    std::cerr << "usage: ebonyvale-bench NAME, where NAME is one of\n";
    for (const auto &[Name, Run] : Benches)
      std::cerr << "  " << Name << "\n";
    return ExitUsage;
  }
  Found->second(std::cout);
  return 0;
}
