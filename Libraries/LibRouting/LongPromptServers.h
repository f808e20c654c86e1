#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace fennelline {

/// A backend server that may be set apart for long prompts.
struct LongPromptCandidate {
  /// Hash of its identity.
  std::uint64_t m_identity = 0;
  /// Hash of its data centre's name.
  std::uint64_t m_zone = 0;
};

/// Which servers are set apart for long prompts, from all data centres alike. All entries that
/// know the same servers choose the same ones. None where there are too few to have a choice left.
///
/// Answers the load of a few very long prompts on a large model among many short answers: while
/// one is read, each event of every answer on its server waits for several chunks of it.
std::vector<bool> ChooseLongPromptServers(std::span<const LongPromptCandidate> aServers);

} // namespace fennelline
