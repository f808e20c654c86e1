#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace fennelline {

/// A backend server that may be reserved for long prompts.
struct LongPromptCandidate {
  /// Hash of its identity.
  std::uint64_t m_identity = 0;
  /// Hash of its data centre's name.
  std::uint64_t m_zone = 0;
};

/// Chooses the servers to reserve for long prompts, spread evenly over the data centres. All
/// entries that know the same servers choose the same ones. Reserves none if there are too few
/// servers.
///
/// This protects many short answers from a few very long prompts on a large model: during the
/// prefill of such a prompt, each event of every answer on the same server is delayed by several
/// prefill chunks.
std::vector<bool> ChooseLongPromptServers(std::span<const LongPromptCandidate> aServers);

} // namespace fennelline
