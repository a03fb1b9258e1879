#pragma once

#include "fleet.pb.h"

namespace briarwood::distribution {

/// Sets the digest of a list over the fields that affect routing. The digest does not depend on the
/// order of the backends, nor on fields that change with time, such as the remaining warm-up time.
void SetListDigest(schema::BackendList& list);

}  // namespace briarwood::distribution
