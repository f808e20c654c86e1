#include "LibHttp/ConnectionState.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

using namespace fennelline;

namespace {

/// Calls aCheck with each state, event and the state that follows, if any.
template<typename Check>
void ForEachTransition(Check aCheck) {
  for (const std::pair<ConnectionState, std::string_view>& state : kConnectionStateNames) {
    for (const std::pair<ConnectionEvent, std::string_view>& event : kConnectionEventNames) {
      aCheck(state.first, event.first, NextState(state.first, event.first));
    }
  }
}

} // namespace

TEST_CASE("a connection that has announced its end takes no request any more") {
  ForEachTransition([](ConnectionState aFrom, ConnectionEvent, std::optional<ConnectionState> aTo) {
    const bool hasEnded = aFrom == ConnectionState::Lingering || aFrom == ConnectionState::Ended;
    if (hasEnded && aTo) {
      CHECK(*aTo == ConnectionState::Ended);
    }
  });
}

TEST_CASE("a request that has been taken leads to one response or to the end") {
  ForEachTransition(
    [](ConnectionState aFrom, ConnectionEvent aEvent, std::optional<ConnectionState> aTo) {
      const bool isAnswered =
        aEvent == ConnectionEvent::AnswerEnded || aEvent == ConnectionEvent::AnswerEndedClosing;
      const bool isBegun = aEvent == ConnectionEvent::AnswerBegun;
      if (isAnswered) {
        CHECK(aTo.has_value() == IsBusy(aFrom));
      }
      if (isBegun) {
        CHECK(aTo.has_value() == (aFrom == ConnectionState::InProgress));
      }
      if (IsBusy(aFrom) && aTo && !IsBusy(*aTo)) {
        CHECK((isAnswered || *aTo == ConnectionState::Ended));
      }
    });
}

TEST_CASE("every state is reached, and the end is reached from every state") {
  std::set<ConnectionState> reached = {ConnectionState::ReadingHead};
  for (std::size_t round = 0; round < kConnectionStateNames.size(); ++round) {
    ForEachTransition(
      [&reached](ConnectionState aFrom, ConnectionEvent, std::optional<ConnectionState> aTo) {
        if (reached.contains(aFrom) && aTo) {
          reached.insert(*aTo);
        }
      });
  }
  CHECK(reached.size() == kConnectionStateNames.size());
  for (const std::pair<ConnectionState, std::string_view>& row : kConnectionStateNames) {
    const bool canEnd = row.first == ConnectionState::Ended ||
                        NextState(row.first, ConnectionEvent::PeerEnded) == ConnectionState::Ended;
    CHECK_MESSAGE(canEnd, row.second);
  }
}

TEST_CASE("the page on connections shows the transitions of the code") {
  std::ifstream page("docs/design/connections.md");
  std::stringstream text;
  text << page.rdbuf();
  ForEachTransition(
    [&text](ConnectionState aFrom, ConnectionEvent aEvent, std::optional<ConnectionState> aTo) {
      const std::string row = "| " + std::string(NameOf(kConnectionStateNames, aFrom)) + " | " +
                              std::string(NameOf(kConnectionEventNames, aEvent)) + " | ";
      const std::string to = aTo ? std::string(NameOf(kConnectionStateNames, *aTo)) + " |" : "";
      CHECK_MESSAGE((text.str().find(row + to) != std::string::npos) == aTo.has_value(), row);
    });
}
