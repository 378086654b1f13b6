#pragma once

#include "core/time.h"
#include "submission/submission.h"

namespace guavabay {

/// Scheduling parameters of one queue, from the operator's configuration.
struct queue_contract {
    queue_id m_queue;
    service_id m_service;
    std::int32_t m_priority = 0;       ///< Zero is the highest priority.
    std::int32_t m_max_attempts = 1;   ///< This many failed runs of a task fail its submission.
    double m_stretch_factor = 1;       ///< Multiplies the critical path to give the objective.
    milliseconds m_target{0};          ///< Added to the product.
    bool m_needs_advice = false;       ///< Each start needs a ticket of the advice service.
    milliseconds m_advice_validity{0}; ///< Validity of a ticket whose answer states none.

    bool operator==(const queue_contract&) const = default;
};

} // namespace guavabay
