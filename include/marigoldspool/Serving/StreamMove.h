#ifndef MARIGOLDSPOOL_SERVING_STREAMMOVE_H
#define MARIGOLDSPOOL_SERVING_STREAMMOVE_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

namespace marigoldspool {

/// The announced end of an endpoint's process, which then ends whatever it runs.
struct EndpointEnd {
    SteadyTime at;
    /// When this instance learned that the process ends.
    SteadyTime knownSince;
};

/// A stream at an endpoint that ends.
struct EndingStream {
    EndpointEnd end;
    RequestId id;
    /// When the endpoint was sent the request.
    SteadyTime sentAt;
    /// Mean time from the sending of a request to the end of its response; zero if unknown.
    Duration expectedRun = Duration::zero();
};

/// When the stream is to be moved to another endpoint. The streams of one endpoint are spread by
/// their ids over the second that ends shortly before the endpoint does, or over the part of it
/// that is left when the end becomes known.
SteadyTime moveTime(const EndingStream &stream);

/// Whether the stream is to be moved now: its time has come, the endpoint has not ended, and the
/// stream is not expected to finish before the end.
bool isMoveDue(const EndingStream &stream, SteadyTime now);

} // namespace marigoldspool

#endif
