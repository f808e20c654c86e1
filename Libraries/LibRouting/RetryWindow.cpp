#include "LibRouting/RetryWindow.h"

namespace fennelline {

namespace {

/// Part of the bound that is used: repeats arrive later than they are counted here, so a window at
/// the servers may hold more of them than one of ours.
constexpr double kUsedPart = 0.8;

} // namespace

std::int64_t RetryWindow::NumberAt(Duration aWindow, Time aNow) {
  return aNow.time_since_epoch() / (aWindow / static_cast<std::int64_t>(kCells));
}

RetryWindow::Cell& RetryWindow::CellAt(std::int64_t aNumber) {
  Cell& cell = m_cells[static_cast<std::size_t>(aNumber) % m_cells.size()];
  if (cell.m_number != aNumber) {
    cell = {.m_number = aNumber, .m_requests = 0, .m_repeats = 0};
  }
  return cell;
}

void RetryWindow::OnRequest(Time aNow) {
  ++CellAt(NumberAt(m_window, aNow)).m_requests;
}

bool RetryWindow::TrySpend(const RetryWindowPlan& aPlan, Time aNow) {
  m_window = aPlan.m_window;
  const std::int64_t number = NumberAt(m_window, aNow);
  std::int64_t requests = 0;
  std::int64_t repeats = 0;
  for (const Cell& cell : m_cells) {
    const bool isInWindow =
      cell.m_number <= number && cell.m_number > number - static_cast<std::int64_t>(m_cells.size());
    requests += isInWindow ? cell.m_requests : 0;
    repeats += isInWindow ? cell.m_repeats : 0;
  }
  const double allowed = kUsedPart * (aPlan.m_ratio * static_cast<double>(requests) +
                                      aPlan.m_slack / static_cast<double>(aPlan.m_entries));
  if (static_cast<double>(repeats + 1) > allowed) {
    return false;
  }
  ++CellAt(number).m_repeats;
  return true;
}

} // namespace fennelline
