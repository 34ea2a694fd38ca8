#pragma once

#include "rattanroad_core/identifiers/SubmissionId.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_inventory/inventory/Inventory.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace rattanroad {

/** Maps callers' own idempotency keys to submission ids, for the keys whose home is this host.

    The home of a key is chosen among the configured entry hosts, not the live ones, so two hosts never both decide
   about a key because they see different members. Bindings live in memory only. A home that may have lost bindings of
   an earlier incarnation, or that has just become home by a change of the configuration, refuses keys until every
   binding it could have missed is past the retention time.
    @see docs/design.md
*/
class KeyHome {
public:
    struct Settings {
        HostId self;
        /** How long a key is remembered after its first use. */
        Duration retention { std::chrono::minutes(10) };
    };

    /** A caller's key; keys of different teams are different keys. */
    struct Key {
        TeamId team;
        std::string text;

        friend bool operator<(const Key& left, const Key& right)
        {
            return std::tie(left.team, left.text) < std::tie(right.team, right.text);
        }
    };

    KeyHome(Settings settings, Clock& clock);

    /** Returns the home of @p key; nothing when the configuration lists no entry host. */
    static std::optional<HostId> homeOf(const Key& key, const Inventory& inventory);

    /** Notes a configuration; keys that get a new home by it are refused for the retention time. */
    void configurationInstalled(const Inventory& inventory);
    /** The store has answered the registration of this incarnation. @p hadPredecessor tells whether an earlier
       incarnation of this host was registered, which may have held bindings.
    */
    void registered(bool hadPredecessor);

    /** Returns why @p key cannot be decided here now, or nothing. */
    std::optional<Failure> refusal(const Key& key) const;
    /** Returns the submission bound to @p key. */
    std::optional<SubmissionId> find(const Key& key) const;
    void bind(const Key& key, const SubmissionId& id);
    /** Forgets keys that are past the retention time. */
    void expire();

    std::size_t size() const { return m_bindings.size(); }

private:
    Settings m_settings;
    Clock& m_clock;
    TimePoint m_startedAt;
    bool m_isRegistered { false };
    bool m_hadPredecessor { true };
    std::map<Key, SubmissionId> m_bindings;
    std::deque<std::pair<TimePoint, Key>> m_order;
    std::vector<HostId> m_hosts;
    // Earlier host lists; a key whose home was another host under one of them may be bound there.
    std::deque<std::pair<TimePoint, std::vector<HostId>>> m_formerHosts;
};

}
