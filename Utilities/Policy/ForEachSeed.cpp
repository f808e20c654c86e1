#include "Utilities/Policy/Experiments.h"

#include <tbb/parallel_for.h>
#include <tbb/task_arena.h>

namespace fennelline {

void ForEachSeed(const ExperimentOptions& aOptions,
                 const std::function<void(std::size_t aIndex, std::uint64_t aSeed)>& aRun) {
  tbb::task_arena arena(aOptions.m_threads);
  arena.execute([&] {
    tbb::parallel_for(std::size_t{0}, aOptions.m_seeds,
                      [&](std::size_t aIndex) { aRun(aIndex, aOptions.m_firstSeed + aIndex); });
  });
}

} // namespace fennelline
