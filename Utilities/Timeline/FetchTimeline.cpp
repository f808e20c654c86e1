#include "Utilities/Timeline/FetchTimeline.h"

#include "LibTimeline/TimelineMerge.h"

#include <iterator>

namespace fennelline {

namespace {

/// An entry goes on recording while it is read; this many pages are far more than its buffer holds.
constexpr int kMostPages = 1'000;

Result<std::vector<TimelineLine>> FetchOne(AdminClient& aClient, const std::string& aAddress) {
  std::vector<TimelineLine> lines;
  std::uint64_t after = 0;
  for (int page = 0; page < kMostPages; ++page) {
    const std::string target = "/admin/timeline?after=" + std::to_string(after);
    const std::string text = TRY(aClient.Get(aAddress, target));
    std::vector<TimelineLine> some = TRY(ParseTimelineLines(text));
    if (some.empty()) {
      break;
    }
    after = some.back().m_number;
    lines.insert(lines.end(), std::make_move_iterator(some.begin()),
                 std::make_move_iterator(some.end()));
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
