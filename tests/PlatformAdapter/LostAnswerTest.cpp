// Requests that were accepted and ended without a complete answer although no endpoint had broken
// them off.
#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view FirstEvent = "id: 1\ndata: x\n\n";
constexpr std::string_view SecondEvent = "id: 2\ndata: x\n\n";
constexpr std::string_view BothEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

} // namespace

// 27 streams of a played day were cut off because a crashed endpoint had not accepted the
// connection on which they were to resume.
TEST_CASE_FIXTURE(RequestPathFixture,
                  "a stream resumes at a third endpoint when the second cannot be reached")
{
    engineMemoryMb = 200;
    configure(2, {"k1"});
    const auto stream = [this](const HttpRequest &request,
                               const std::shared_ptr<ResponseSink> &sink) {
        const bool isResumed = findHeader(request.headers, "Last-Event-Id") != nullptr;
        sink->head(200, answerHeaders(request), true);
        if (!isResumed) {
            sink->data(FirstEvent);
        }
        if (request.target == "/llm/cut" && !isResumed) {
            // An endpoint that has served nothing is preferred.
            for (const auto &replica : replicas) {
                if (replica->requests.empty()) {
                    replica->crash();
                }
            }
            sink->abort();
            return;
        }
        sink->data(SecondEvent);
        sink->finish();
    };
    addReplica("i-1", "llm", stream, {"m"});
    addReplica("i-2", "llm", stream, {"m"});
    addReplica("i-3", "llm", stream, {"m"});
    callUntilStatus(200, "/llm/x", "m");
    io.restart();
    io.run_for(1s);
    const auto answer = callAndWait("/llm/cut", "m");
    CHECK(answer->complete);
    CHECK(answer->body == BothEvents);
}
