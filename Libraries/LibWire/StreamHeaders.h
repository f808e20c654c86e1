#pragma once

#include "LibCoordination/Identity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

constexpr std::string_view kFromHeader = "fennelline-from";
constexpr std::string_view kToHeader = "fennelline-to";
constexpr std::string_view kProofHeader = "fennelline-proof";
/// The path prefix of a message's stream; the number of the message follows.
constexpr std::string_view kMessagePath = "/messages/";

/// Proves to one receiver that the sender knows a shared secret, without revealing the secret.
std::string MakeProof(std::string_view aSecret, const EntryId& aFrom, const EntryId& aTo);

/// Whether the proof was made with any of the secrets.
bool VerifyProof(const std::vector<std::string>& aSecrets, std::string_view aProof,
                 const EntryId& aFrom, const EntryId& aTo);

/// Parses the number in "/messages/NUMBER".
std::optional<std::uint64_t> ParseMessagePath(std::string_view aPath);

} // namespace fennelline
