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
    m_isActive = std::make_shared<bool>(true);
    readAfter("");
}

void PageReader::stop()
{
    if (m_isActive)
        *m_isActive = false;
    m_isActive.reset();
}

void PageReader::readAfter(const std::string& key)
{
    m_store.readPage(m_settings.prefix, key, [this, isActive = m_isActive, key](const ReadReply& reply) {
        if (!*isActive)
            return;
        if (reply.status == StoreStatus::Done) {
            handlePage(reply, isActive);
            return;
        }
        m_timers.after(m_settings.retryPause, [this, isActive, key] {
            if (*isActive)
                readAfter(key);
        });
    });
}

void PageReader::handlePage(const ReadReply& page, const std::shared_ptr<bool>& isActive)
{
    for (const StoredItem& item : page.items) {
        m_hooks.item(item);
        // The hook may have called stop() or start().
        if (!*isActive)
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
