#include "marigoldspool/Serving/ObjectDownload.h"
#include "marigoldspool/Serving/ObjectMirror.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const InstanceId First("a-1");
const InstanceId Second("a-2");
const SteadyTime Start;

using Progress = ObjectDownload::Progress;

struct DownloadFixture {
    DownloadFixture()
    {
        sender.apply({"config/main", 7, false, value});
        sender.confirm(9);
    }

    ObjectDownload begin() const { return {First, sender.transferSince(0, true), Start}; }

    /// Answers the next request of \p download as the sender; returns what came of it.
    Progress fetch(ObjectDownload &download, const InstanceId &from = First) const
    {
        return download.onPart(from, sender.partFor(download.nextRequest()), Start);
    }

    Progress fetchAll(ObjectDownload &download) const
    {
        Progress progress = fetch(download);
        while (progress == Progress::Advanced) {
            progress = fetch(download);
        }
        return progress;
    }

    std::string value = std::string(100'000, 'x') + std::string(100'000, 'y');
    ObjectMirror sender{"config/", [](const WatchEvent &) {}};
};

} // namespace

// Answers whole kept the link of the sender full for seconds.
TEST_CASE_FIXTURE(DownloadFixture, "a large value is left out of a transfer and fetched in parts")
{
    const ObjectsTransfer transfer = sender.transferSince(0, true);
    REQUIRE(transfer.objects.size() == 1);
    CHECK(transfer.objects[0].value.empty());
    CHECK(ObjectDownload::isNeededFor(transfer));
    CHECK_FALSE(ObjectDownload::isNeededFor(sender.transferSince(0)));

    ObjectDownload download = begin();
    REQUIRE(fetchAll(download) == Progress::Complete);
    std::string received;
    ObjectMirror receiver("config/", [&received](const WatchEvent &event) {
        received = event.value;
    });
    CHECK(receiver.applyTransfer(download.takeTransfer()));
    CHECK(received == value);
}

TEST_CASE_FIXTURE(DownloadFixture, "a download goes on behind the last part at another peer")
{
    ObjectDownload download = begin();
    REQUIRE(fetch(download) == Progress::Advanced);
    const std::uint64_t offset = download.nextRequest().offset;
    CHECK(offset > 0);
    CHECK_FALSE(download.isStalled(Start + ObjectDownload::StallTimeout - 1ms));
    CHECK(download.isStalled(Start + ObjectDownload::StallTimeout));
    download.resumeFrom(Second, Start + 2s);
    CHECK_FALSE(download.isStalled(Start + 2s));
    CHECK(download.nextRequest().offset == offset);
    // The part that the first peer still sends is not counted twice.
    CHECK(fetch(download, First) == Progress::None);
    CHECK(fetch(download, Second) == Progress::Advanced);
}

// Versions that follow each other faster than a slow link carries one would otherwise never arrive.
TEST_CASE_FIXTURE(DownloadFixture, "a version that is replaced while it is fetched arrives")
{
    ObjectDownload download = begin();
    REQUIRE(fetch(download) == Progress::Advanced);
    sender.apply({"config/main", 12, false, value + "z"});
    CHECK(fetchAll(download) == Progress::Complete);
    CHECK(download.takeTransfer().objects[0].value == value);
}

TEST_CASE_FIXTURE(DownloadFixture, "a value that the peer does not have ends the download")
{
    ObjectDownload download = begin();
    for (const std::uint64_t version : {12U, 13U}) {
        sender.apply({"config/main", version, false, value});
    }
    CHECK(fetch(download) == Progress::Lost);
}

TEST_CASE_FIXTURE(DownloadFixture, "a part beyond the announced size ends the download")
{
    ObjectDownload download = begin();
    const ObjectPartRequest request = download.nextRequest();
    ObjectPart part = sender.partFor(request);
    SUBCASE("more bytes than announced")
    {
        part.bytes.assign(value.size() + 1, 'x');
    }
    SUBCASE("another size")
    {
        ++part.totalBytes;
    }
    SUBCASE("no bytes")
    {
        part.bytes.clear();
    }
    CHECK(download.onPart(First, part, Start) == Progress::Lost);
}
