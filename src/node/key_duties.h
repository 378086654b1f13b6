#pragma once

#include "node/step_context.h"

namespace guavabay {

/// What the ledger of idempotency keys needs to know at the moment of a step.
ledger_context make_ledger_context(const step_context& context);

/// Appends what the ledger decided.
void append(const step_context& context, ledger_output& decided);

/// Moves the ledger to the epoch that the store holds.
void follow_epoch_record(const step_context& context);

} // namespace guavabay
