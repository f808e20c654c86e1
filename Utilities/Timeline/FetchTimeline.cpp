#include "Utilities/Timeline/FetchTimeline.h"

#include "LibTimeline/TimelineMerge.h"

#include <iterator>

namespace fennelline {

namespace {

/// An entry keeps recording while it is read, so the number of pages is bounded; the bound is far
/// above what the entry's buffer holds.
constexpr int kMaxPages = 1'000;

Result<std::vector<TimelineLine>> FetchOne(AdminClient& aClient, const std::string& aAddress) {
  std::vector<TimelineLine> lines;
  std::uint64_t after = 0;
  for (int pageCount = 0; pageCount < kMaxPages; ++pageCount) {
    const std::string target = "/admin/timeline?after=" + std::to_string(after);
    const std::string text = TRY(aClient.Get(aAddress, target));
    std::vector<TimelineLine> page = TRY(ParseTimelineLines(text));
    if (page.empty()) {
      break;
    }
    after = page.back().m_number;
    lines.insert(lines.end(), std::make_move_iterator(page.begin()),
                 std::make_move_iterator(page.end()));
  }
  return lines;
}

} // namespace

FetchedTimeline FetchTimeline(AdminClient& aClient, const std::vector<std::string>& aAddresses) {
  FetchedTimeline fetched;
  for (const std::string& address : aAddresses) {
    Result<std::vector<TimelineLine>> lines = FetchOne(aClient, address);
    if (lines.IsError()) {
      fetched.m_errors.push_back(lines.TakeError());
      continue;
    }
    std::vector<TimelineLine> taken = lines.Take();
    fetched.m_lines.insert(fetched.m_lines.end(), std::make_move_iterator(taken.begin()),
                           std::make_move_iterator(taken.end()));
  }
  fetched.m_lines = MergeTimelines(std::move(fetched.m_lines));
  return fetched;
}

} // namespace fennelline
