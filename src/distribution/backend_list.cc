#include "briarwood/distribution/backend_list.h"

#include "briarwood/common/digest.h"

namespace briarwood::distribution {

void SetListDigest(schema::BackendList& list) {
  // Non-zero for an empty list, because a digest of 0 stands for a missing list.
  std::uint64_t digest = 1;
  for (const schema::ListedBackend& backend : list.backends()) {
    schema::ListedBackend stable = backend;
    stable.set_warm_up_ms(backend.warm_up_ms() == 0 ? 0 : 1);
    digest += common::Hash64(stable.SerializeAsString());
  }
  list.set_digest(digest);
}

}  // namespace briarwood::distribution
