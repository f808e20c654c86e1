#pragma once

#include "LibBase/NameTable.h"

#include <cstdint>

namespace fennelline {

/// Why a request is not sent to a backend server.
enum class ServerBar : std::uint8_t {
  None,
  /// The request has been sent there before.
  Tried,
  /// The store, one of its answers or another entry says that it is leaving, or is gone.
  Leaving,
  /// Its data centre is evacuated.
  Evacuated,
  /// It rejected a request and asked to be left alone for a while.
  LeftAlone,
  /// It limits requests, and no permit is to be had now.
  NoPermit,
  /// It is brittle, and this entry's part of its slots is taken.
  NoRoom,
};

constexpr NameTable<ServerBar, 7> kServerBarNames = {{
  {ServerBar::None, "none"},
  {ServerBar::Tried, "tried"},
  {ServerBar::Leaving, "leaving"},
  {ServerBar::Evacuated, "evacuated"},
  {ServerBar::LeftAlone, "left-alone"},
  {ServerBar::NoPermit, "no-permit"},
  {ServerBar::NoRoom, "no-room"},
}};

} // namespace fennelline
