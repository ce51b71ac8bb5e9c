#ifndef MARIGOLDSPOOL_PLATFORM_HTTPOBJECTSTORE_H
#define MARIGOLDSPOOL_PLATFORM_HTTPOBJECTSTORE_H

#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Metrics.h"

#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

/// Largest value that the platform accepts, in bytes.
constexpr std::size_t MaxObjectBytes = 1U << 20U;

/// A client of the platform's object API at \p address (`IP:PORT`).
///
/// A call takes at most \p timeout, a watch that much longer than its wait. All callbacks run on
/// \p io. Calls that are open when the store is destroyed are abandoned without a callback.
/// Every call counts in `marigoldspool_store_calls_total{kind,outcome}`.
std::unique_ptr<ObjectStore> makeHttpObjectStore(boost::asio::io_context &io,
                                                 std::string_view address, Duration timeout,
                                                 Metrics &metrics);

} // namespace marigoldspool

#endif
