#ifndef MARIGOLDSPOOL_BENCH_CONTROL_PEERBENCH_H
#define MARIGOLDSPOOL_BENCH_CONTROL_PEERBENCH_H

#include <cstddef>
#include <cstdint>

namespace marigoldspool {

/// Memory for each connection at one of its ends.
void measureConnectionMemory(std::size_t largest);
/// Bytes and CPU time for each heartbeat at the sender and at the receiver.
void measureHeartbeats(std::size_t largest);
/// CPU time for each configuration transfer of 1 MB.
void measureTransfers(std::uint64_t seed);
/// CPU time of encoding and decoding alone.
void measureCodec(std::uint64_t seed);

} // namespace marigoldspool

#endif
