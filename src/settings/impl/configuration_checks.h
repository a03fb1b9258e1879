#pragma once

#include "configuration.pb.h"
#include "settings/impl/findings.h"

namespace briarwood::settings::impl {

/// Checks the fields of each row, independent of other rows, and that ids, paths and addresses are
/// unique.
void CheckRows(const schema::Configuration& configuration, Findings& findings);

/// Checks that references between rows resolve and that the floors add up to at most 1.
void CheckReferences(const schema::Configuration& configuration, Findings& findings);

}  // namespace briarwood::settings::impl
