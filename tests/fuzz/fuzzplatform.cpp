// Input from the users' platform and from peers: any bytes must be decoded or rejected without a fault. The
// first byte of the input selects the decoder.
#include "platform/ingress.h"
#include "platform/operatorrecords.h"
#include "platform/storecalls.h"
#include "platform/workercalls.h"
#include "proto/fleetcodec.h"

#include <cstdlib>

using namespace turmericwell;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size == 0)
        return 0;
    static const QueueTable queues(1, {{.name = "q", .host = "h", .pathPrefix = "/q/", .service = "s"}});
    const std::string body(reinterpret_cast<const char *>(data) + 1, size - 1);
    const HttpResult answer{.response = HttpResponse{.status = 200, .body = body}, .sent = true};
    constexpr uint8_t decoders = 8;
    switch (data[0] % decoders) {
    case 0: {
        const HttpRequest request{.method = "POST",
                                  .path = "/q/0123456789abcdef",
                                  .headers = {{"host", "h"}, {"deadline-ms", body.substr(0, 8)}},
                                  .body = body};
        const platform::ClientCall call = platform::decodeClientRequest(request, queues);
        if (const auto *job = std::get_if<JobCall>(&call); job && !job->spec)
            std::abort();
        break;
    }
    case 1:
        (void)platform::decodeAnnouncement("w", body);
        break;
    case 2:
        (void)platform::decodeLists(*answer.response);
        break;
    case 3:
        (void)platform::decodeKeyedRecords(body, 0);
        break;
    case 4:
        (void)platform::decodeNewestAnswer(answer);
        break;
    case 5:
        (void)platform::decodeConfiguration(body);
        break;
    case 6:
        (void)decodeJobRecord(body);
        break;
    default:
        (void)decodeFleetMessage({data + 1, size - 1});
        break;
    }
    return 0;
}
