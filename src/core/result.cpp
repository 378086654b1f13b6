#include "core/result.h"

namespace guavabay {

std::string& last_reason()
{
    thread_local std::string reason;
    return reason;
}

} // namespace guavabay
