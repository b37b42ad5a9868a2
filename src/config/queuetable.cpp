// Finds a queue by host and longest path prefix.
#include "config/queuetable.h"

#include <algorithm>

namespace turmericwell {

QueueTable::QueueTable(uint64_t version, std::vector<Queue> queues)
    : m_version(version)
    , m_queues(std::move(queues))
{
    std::sort(m_queues.begin(), m_queues.end(), [](const Queue &a, const Queue &b) {
        if (a.host != b.host)
            return a.host < b.host;
        return a.pathPrefix.size() > b.pathPrefix.size();
    });
}

QueueMatch QueueTable::match(std::string_view host, std::string_view path) const
{
    auto item = std::lower_bound(m_queues.begin(), m_queues.end(), host,
                                 [](const Queue &queue, std::string_view text) { return queue.host < text; });
    for (; item != m_queues.end() && item->host == host; ++item) {
        if (path.starts_with(item->pathPrefix))
            return {.queue = &*item, .rest = path.substr(item->pathPrefix.size())};
    }
    return {};
}

} // namespace turmericwell
