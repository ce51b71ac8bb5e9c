#include "marigoldspool/Support/Invariant.h"

#include "marigoldspool/Support/EventLog.h"

#include <string>
#include <utility>

namespace marigoldspool {

namespace {

void logViolation(std::string_view name, std::string_view detail)
{
    logEvent(LogLevel::Error, "invariant_violated",
             {{"name", std::string(name)}, {"detail", std::string(detail)}});
}

InvariantHandler &currentHandler()
{
    static InvariantHandler handler = logViolation;
    return handler;
}

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler handler)
{
    if (!handler) {
        handler = logViolation;
    }
    return std::exchange(currentHandler(), std::move(handler));
}

void checkInvariant(bool holds, std::string_view name, std::string_view detail)
{
    if (!holds) {
        currentHandler()(name, detail);
    }
}

} // namespace marigoldspool
