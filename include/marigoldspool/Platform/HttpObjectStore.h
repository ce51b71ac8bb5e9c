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

/// Creates a client of the platform's object API at \p address (`IP:PORT`).
///
/// Calls time out after \p timeout, watches after their wait plus \p timeout. All callbacks run on
/// \p io. Calls that are pending when the store is destroyed are cancelled without a callback.
/// Every call is counted in `marigoldspool_store_calls_total{kind,outcome}`.
std::unique_ptr<ObjectStore> makeHttpObjectStore(boost::asio::io_context &io,
                                                 std::string_view address, Duration timeout,
                                                 Metrics &metrics);

} // namespace marigoldspool

#endif
