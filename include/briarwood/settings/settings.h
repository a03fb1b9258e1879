#pragma once

/// Umbrella header of the settings module.

#include "briarwood/settings/configuration.h"
#include "briarwood/settings/problem.h"
#include "briarwood/settings/process_settings.h"
#include "briarwood/settings/toml_reader.h"
