#include "rattanroad_shards/store/PageReader.h"

namespace rattanroad::shards {

PageReader::PageReader(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_timers(std::move(timers))
    , m_hooks(std::move(hooks))
{
}

void PageReader::start()
{
    stop();
    m_isWanted = std::make_shared<bool>(true);
    readAfter("");
}

void PageReader::stop()
{
    if (m_isWanted)
        *m_isWanted = false;
    m_isWanted.reset();
}

void PageReader::readAfter(const std::string& key)
{
    m_store.readPage(m_settings.prefix, key, [this, isWanted = m_isWanted, key](const ReadReply& reply) {
        if (!*isWanted)
            return;
        if (reply.status == StoreStatus::Done) {
            takePage(reply, isWanted);
            return;
        }
        m_timers.after(m_settings.retryPause, [this, isWanted, key] {
            if (*isWanted)
                readAfter(key);
        });
    });
}

void PageReader::takePage(const ReadReply& page, const std::shared_ptr<bool>& isWanted)
{
    for (const StoredItem& item : page.items) {
        m_hooks.item(item);
        // The item may have ended the reading.
        if (!*isWanted)
            return;
    }
    if (page.hasMore && !page.items.empty()) {
        readAfter(page.items.back().key);
        return;
    }
    stop();
    m_hooks.done();
}

}
