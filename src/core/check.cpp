#include "core/check.h"

#include <cstdio>
#include <cstdlib>

namespace guavabay {

void check_failed(const char* condition, const std::source_location& where)
{
    std::fprintf(stderr, "check failed: %s at %s:%u in %s\n", condition, where.file_name(),
                 static_cast<unsigned>(where.line()), where.function_name());
    std::abort();
}

} // namespace guavabay
