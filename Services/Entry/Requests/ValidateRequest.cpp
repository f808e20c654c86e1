#include "Services/Entry/Requests/ValidateRequest.h"

#include "LibBase/Sha256.h"

#include <algorithm>

namespace fennelline {

namespace {

const Contract* FindByKeyHash(const Configuration& aConfiguration, const std::string& aKeyHash) {
  for (const Contract& contract : aConfiguration.m_contracts) {
    for (const std::string& hash : contract.m_keyHashes) {
      if (EqualInConstantTime(hash, aKeyHash)) {
        return &contract;
      }
    }
  }
  return nullptr;
}

std::string KindNames(const Contract& aContract) {
  std::string names;
  for (const RequestKind& kind : aContract.m_kinds) {
    names += (names.empty() ? "" : ", ") + kind.m_name;
  }
  return names;
}

/// The contract's kind for the requested service operation, used if the caller specifies none.
const RequestKind* KindOfOperation(const Contract& aContract, const CallerRequest& aRequest) {
  const auto found =
    std::find_if(aContract.m_kinds.begin(), aContract.m_kinds.end(), [&](const RequestKind& aKind) {
      return aKind.m_service == aRequest.m_service && aKind.m_operation == aRequest.m_operation;
    });
  return found == aContract.m_kinds.end() ? nullptr : &*found;
}

bool KindFitsTarget(const RequestKind& aKind, const CallerRequest& aRequest) {
  if (aRequest.m_target == CallerRequest::Target::Model) {
    return aKind.m_service.empty();
  }
  return aKind.m_service == aRequest.m_service && aKind.m_operation == aRequest.m_operation;
}

bool KnowsModel(const Configuration& aConfiguration, const Contract& aContract,
                const RequestKind& aKind, const std::string& aModel) {
  return std::any_of(aConfiguration.m_versions.begin(), aConfiguration.m_versions.end(),
                     [&](const ModelVersion& aVersion) {
                       const bool named = aModel == aVersion.m_name || aModel == aVersion.m_model;
                       return named && IsAllowed(aContract, aKind, aVersion);
                     });
}

Validation ValidateKind(const Configuration& aConfiguration, const Contract& aContract,
                        const CallerRequest& aRequest) {
  const bool isService = aRequest.m_target == CallerRequest::Target::Service;
  ValidRequest valid{.m_contract = &aContract};
  if (isService) {
    valid.m_operation = FindOperation(aConfiguration, aRequest.m_service, aRequest.m_operation);
    if (valid.m_operation == nullptr) {
      return Refusal(ProblemCode::UnknownOperation,
                     "no operation " + aRequest.m_service + "/" + aRequest.m_operation,
                     Duration{0});
    }
  }
  if (aRequest.m_kind.empty() && !isService) {
    return Refusal(ProblemCode::MissingKind,
                   "the header Fennelline-Kind is missing; one of: " + KindNames(aContract),
                   Duration{0});
  }
  valid.m_kind = aRequest.m_kind.empty() ? KindOfOperation(aContract, aRequest)
                                         : FindKind(aContract, aRequest.m_kind);
  if (valid.m_kind == nullptr || !KindFitsTarget(*valid.m_kind, aRequest)) {
    return Refusal(ProblemCode::UnknownKind,
                   "\"" + aRequest.m_kind +
                     "\" is not a kind for this; one of: " + KindNames(aContract),
                   Duration{0});
  }
  valid.m_deadline = valid.m_kind->m_deadline;
  if (aRequest.m_deadlineMs > 0) {
    valid.m_deadline = std::min(valid.m_deadline, Milliseconds(aRequest.m_deadlineMs));
  }
  return valid;
}

} // namespace

Validation ValidateRequest(const Configuration& aConfiguration, const CallerRequest& aRequest) {
  const Contract* contract = FindByKeyHash(aConfiguration, aRequest.m_keyHash);
  if (contract == nullptr) {
    return Refusal(ProblemCode::BadKey, "the bearer key belongs to no contract", Duration{0});
  }
  Validation validation = ValidateKind(aConfiguration, *contract, aRequest);
  const ValidRequest* valid = std::get_if<ValidRequest>(&validation);
  const bool namesModel =
    aRequest.m_target == CallerRequest::Target::Model && !aRequest.m_model.empty();
  if (valid != nullptr && namesModel &&
      !KnowsModel(aConfiguration, *contract, *valid->m_kind, aRequest.m_model)) {
    return Refusal(ProblemCode::VersionNotAllowed,
                   "\"" + aRequest.m_model + "\" is not allowed for kind " + valid->m_kind->m_name,
                   Duration{0});
  }
  return validation;
}

} // namespace fennelline
