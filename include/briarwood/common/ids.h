#pragma once

#include <cstdint>
#include <string>

#include "briarwood/common/strong_id.h"

namespace briarwood::common {

using CustomerId = StrongId<struct CustomerIdTag, std::string>;
using ClassId = StrongId<struct ClassIdTag, std::string>;
using ModelId = StrongId<struct ModelIdTag, std::string>;
using BackendServerId = StrongId<struct BackendServerIdTag, std::string>;
using FailureDomainId = StrongId<struct FailureDomainIdTag, std::string>;
using VmId = StrongId<struct VmIdTag, std::string>;
using NodeId = StrongId<struct NodeIdTag, std::string>;
using RequestId = StrongId<struct RequestIdTag, std::string>;

/// Number drawn at process start; distinguishes a restarted process from its previous run.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Control member in the replicated log; not reused if the member loses its disk.
using MemberId = StrongId<struct MemberIdTag, std::uint64_t>;
using Term = StrongId<struct TermTag, std::uint64_t>;
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// Tier 0 is the top tier.
using Tier = StrongId<struct TierTag, std::uint32_t>;

}  // namespace briarwood::common
