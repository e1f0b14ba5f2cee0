/// \file
/// Cost of the decisions by slope: time and memory for each unit of state.
#ifndef EBONYVALE_BENCH_DECISION_BENCH_H
#define EBONYVALE_BENCH_DECISION_BENCH_H

#include <ostream>

namespace ebonyvale {

/// Time of a placement over engines, pieces and index entries; memory of an
/// index entry; time of an admission and of a hash of a prompt.
void runDecisionBench(std::ostream &Out);

/// Time and memory of a configuration over keys, upstreams and notes, and bytes
/// of the messages between instances: the slopes behind docs/CAPACITY.md.
void runCapacityBench(std::ostream &Out);

} // namespace ebonyvale

#endif
