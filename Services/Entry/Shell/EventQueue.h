#pragma once

#include "Services/Entry/EntryReducer.h"

#include <functional>
#include <tbb/concurrent_queue.h>
#include <utility>
#include <variant>

namespace fennelline {

/// A function that reads the reducer's state, run on the reducer's thread between two events.
using StateQuery = std::function<void(const EntryReducer&, Time)>;

/// The reducer's input queue: events and queries about its state.
class EventQueue {
public:
  using Item = std::variant<Event, StateQuery>;

  void Post(Event aEvent) { m_items.push(std::move(aEvent)); }
  void Ask(StateQuery aQuery) { m_items.push(std::move(aQuery)); }
  /// Waits for the next item.
  Item Pop() {
    Item item;
    m_items.pop(item);
    return item;
  }
  std::ptrdiff_t Length() const { return m_items.size(); }

private:
  tbb::concurrent_bounded_queue<Item> m_items;
};

} // namespace fennelline
