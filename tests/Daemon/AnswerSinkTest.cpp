#include "Daemon/AnswerSink.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

class RecordingSink final : public ResponseSink
{
public:
    void head(int, gsl::span<const HeaderField>, bool) override { }
    void data(std::string_view bytes) override { body.append(bytes); }
    void finish() override { }
    void abort() override { aborted = true; }
    std::size_t pendingBytes() const override { return 0; }
    void onCallerGone(std::function<void()>) override { }

    std::string body;
    bool aborted = false;
};

} // namespace

// Guards against an error's text that a caller reads as a part of the event before it, or as an
// event of the endpoint.
TEST_CASE("a stream that breaks off gets an error event only behind a whole event")
{
    struct Row {
        std::vector<std::string> parts;
        bool hasErrorEvent;
    };
    const std::vector<Row> rows{
        {{}, true},
        {{"data: a\n\n"}, true},
        {{"data: a\n", "\n"}, true},
        {{"data: a\r\n\r", "\n"}, true},
        {{"data: a\n\ndata: {\"te"}, false},
        {{"data: a\n"}, false},
        {{"data: a\n\nd"}, false},
        {{"data: a\r\n\r"}, false},
    };
    for (const Row &row : rows) {
        const auto recorded = std::make_shared<RecordingSink>();
        HttpAnswerSink sink(RequestId("r"), recorded);
        sink.head(200, {}, true);
        std::string sent;
        for (const std::string &part : row.parts) {
            sent += part;
            sink.data(part);
        }
        CAPTURE(sent);
        sink.refuse(
            {RefusalReason::AnswerIncomplete, RanState::Unknown, "cut", "retry", Duration::zero()});
        CHECK(recorded->aborted);
        CHECK((recorded->body.find("answer_incomplete") != std::string::npos) == row.hasErrorEvent);
        CHECK((recorded->body.find(sent + "event: error\ndata: {") == 0) == row.hasErrorEvent);
        CHECK(recorded->body.substr(0, sent.size()) == sent);
    }
}
