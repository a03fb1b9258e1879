#pragma once

#include "fleet.pb.h"

namespace briarwood::distribution {

/// Sets the digest of a list over the fields that affect routing. The digest does not depend on the
/// order of the backends, nor on the length of a warm-up that is still to come.
void SetListDigest(schema::BackendList& list);

}  // namespace briarwood::distribution
