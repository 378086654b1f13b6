#pragma once

#include "contract/contract.h"
#include "core/time.h"

namespace guavabay {

/// How long a process that hears neither the store nor a peer goes on serving a customer.
duration isolation_limit(const contract& terms);

/// The longest run that the contract allows to one request.
duration longest_run_limit(const contract& terms);

/// True when a customer's requests stop because the process is cut off from everything.
bool stops_when_isolated(const contract& terms, duration isolated);

} // namespace guavabay
