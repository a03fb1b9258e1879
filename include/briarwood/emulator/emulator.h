#pragma once

/// Umbrella header of the emulator module.

#include "briarwood/emulator/continuous_batch.h"
#include "briarwood/emulator/model_engine.h"
#include "briarwood/emulator/order_gate.h"
#include "briarwood/emulator/plain_service.h"
#include "briarwood/emulator/platform.h"
#include "briarwood/emulator/prefix_cache.h"
#include "briarwood/emulator/text_generator.h"
#include "briarwood/emulator/vm_list.h"
