#include "Services/Entry/Shell/BlockingCalls.h"

#include <tbb/global_control.h>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>

namespace fennelline {

struct BlockingCalls::Arena {
  explicit Arena(int aMostAtOnce)
    : m_control(tbb::global_control::max_allowed_parallelism,
                static_cast<std::size_t>(aMostAtOnce) + 1)
    , m_arena(aMostAtOnce, 0) {}

  tbb::global_control m_control;
  tbb::task_arena m_arena;
  tbb::task_group m_group;
};

BlockingCalls::BlockingCalls(int aMostAtOnce)
  : m_arena(std::make_unique<Arena>(aMostAtOnce)) {}

BlockingCalls::~BlockingCalls() {
  m_arena->m_arena.execute([this]() { m_arena->m_group.wait(); });
}

void BlockingCalls::Run(std::function<void()> aCall) {
  m_arena->m_arena.enqueue(m_arena->m_group.defer(std::move(aCall)));
}

} // namespace fennelline
