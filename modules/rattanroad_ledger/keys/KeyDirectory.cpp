#include "rattanroad_ledger/keys/KeyDirectory.h"

#include <algorithm>
#include <deque>
#include <map>

namespace rattanroad {

class KeyDirectory::Impl {
public:
    using Key = std::pair<TeamId, std::string>;
    struct Entry {
        SubmissionId id;
        TimePoint lastUse;
    };

    Impl(Settings settings, Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
        , m_startedAt(clock.now())
        , m_refusesUntil(TimePoint::max())
    {
    }

    void setRegistration(Registration registration)
    {
        if (m_isRegistered)
            return;
        m_isRegistered = registration != Registration::StoreUnavailable;
        // After this time nothing that an earlier process bound counts any more, whether the store can be read or not.
        const bool isExcluded = registration == Registration::NoEarlierProcess;
        m_refusesUntil = isExcluded ? m_startedAt : m_startedAt + m_settings.retention;
    }

    Result<Binding> bind(const TeamId& team, const std::string& key, const SubmissionId& proposed)
    {
        tick();
        const auto now = m_clock.now();
        const auto known = m_bindings.find({ team, key });
        if (known != m_bindings.end()) {
            known->second.lastUse = now;
            return Binding { known->second.id, false };
        }
        if (now < m_refusesUntil || now < m_homesSettledAt)
            return notDecided();
        const auto added = m_bindings.emplace(Key { team, key }, Entry { proposed, now }).first;
        m_expiries.emplace_back(now + m_settings.retention, added);
        return Binding { proposed, true };
    }

    void tick()
    {
        const auto now = m_clock.now();
        while (!m_expiries.empty() && m_expiries.front().first <= now) {
            const auto entry = m_expiries.front().second;
            m_expiries.pop_front();
            const auto expiry = entry->second.lastUse + m_settings.retention;
            // Used since: looked at again one retention time later, which keeps the queue in order.
            if (expiry > now)
                m_expiries.emplace_back(now + m_settings.retention, entry);
            else
                m_bindings.erase(entry);
        }
    }

    const Settings m_settings;
    Clock& m_clock;
    TimePoint m_startedAt;
    bool m_isRegistered { false };
    TimePoint m_refusesUntil;
    TimePoint m_homesSettledAt;
    std::map<Key, Entry> m_bindings;
    /** One element per binding, in the order in which they are looked at. */
    std::deque<std::pair<TimePoint, std::map<Key, Entry>::iterator>> m_expiries;

private:
    static Failure notDecided()
    {
        return { FailureCode::NotDecidedHere, RunState::NotRun,
            "the key home cannot exclude an earlier request with this key; try again later or use a submission id" };
    }
};

KeyDirectory::KeyDirectory(Settings settings, Clock& clock)
    : m_impl(std::make_unique<Impl>(settings, clock))
{
}

KeyDirectory::~KeyDirectory() = default;

void KeyDirectory::setRegistration(Registration registration) { m_impl->setRegistration(registration); }

void KeyDirectory::setHomesChanged()
{
    m_impl->m_homesSettledAt = m_impl->m_clock.now() + m_impl->m_settings.retention;
}

Result<KeyDirectory::Binding> KeyDirectory::bind(
    const TeamId& team, const std::string& key, const SubmissionId& proposed)
{
    return m_impl->bind(team, key, proposed);
}

void KeyDirectory::tick() { m_impl->tick(); }

TimePoint KeyDirectory::nextWakeup() const
{
    return m_impl->m_expiries.empty() ? TimePoint::max() : m_impl->m_expiries.front().first;
}

std::size_t KeyDirectory::size() const { return m_impl->m_bindings.size(); }

}
