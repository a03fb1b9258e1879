#pragma once

#include "fleet.pb.h"

namespace briarwood::distribution {

/// Sets the digest of a list over what decides where requests go, in any order of its entries.
/// Fields that change by themselves, such as the time left to warm up, do not count.
void SetDigest(schema::BackendList& list);

}  // namespace briarwood::distribution
