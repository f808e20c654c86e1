#include "LibDecision/PrefixHashes.h"

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace fennelline {

std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt) {
  const std::size_t blocks = std::min(aPrompt.size() / kPrefixBlockCharacters, kMaxPrefixBlocks);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(blocks);
  // The hash state is extended block by block, so that all prefixes cost one pass over the prompt.
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(),
                                                                         &XXH64_freeState);
  XXH64_reset(state.get(), 0);
  for (std::size_t block = 0; block < blocks; ++block) {
    XXH64_update(state.get(), aPrompt.data() + block * kPrefixBlockCharacters,
                 kPrefixBlockCharacters);
    hashes.push_back(XXH64_digest(state.get()));
  }
  return hashes;
}

} // namespace fennelline
