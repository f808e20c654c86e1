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
/// The path of a message's stream; its number follows.
constexpr std::string_view kMessagePath = "/messages/";

/// Shows knowledge of a shared secret by a sender to one receiver, without showing the secret.
std::string MakeProof(std::string_view aSecret, const EntryId& aFrom, const EntryId& aTo);

/// Whether the proof was made under any of the secrets.
bool VerifyProof(const std::vector<std::string>& aSecrets, std::string_view aProof,
                 const EntryId& aFrom, const EntryId& aTo);

/// The number in "/messages/NUMBER".
std::optional<std::uint64_t> ParseMessagePath(std::string_view aPath);

} // namespace fennelline
