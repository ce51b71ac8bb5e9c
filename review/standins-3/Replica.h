#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_3_REPLICA_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_3_REPLICA_H

#include <string>

namespace marigoldspool::review3 {

/// Runs a stand-in replica until the process ends. \p settings is a JSON object:
///  - id, address, born, log (a file to which lines are appended);
///  - models: names of the models that it holds at its start;
///  - loadMs: how long a load takes;
///  - framing: how streams end: "chunks" or "close".
///
/// A request tells in its body what to do, as words NAME=VALUE: events and pace (milliseconds) of a
/// stream, work (milliseconds) of a plain answer, lines and pace of one that has neither a length
/// nor chunks, crash=1 to end the process when the answer begins.
///
/// POST /standin/control with a JSON object changes what the replica says of itself: leaving
/// (bool), framing.
int runReplica(const std::string &settings);

} // namespace marigoldspool::review3

#endif
