#ifndef MARIGOLDSPOOL_TESTS_SUPPORT_IORUNNER_H
#define MARIGOLDSPOOL_TESTS_SUPPORT_IORUNNER_H

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

/// Runs \p io until \p condition holds; false if it does not hold within a generous bound.
inline bool runUntil(boost::asio::io_context &io, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        io.restart();
        io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace marigoldspool

#endif
