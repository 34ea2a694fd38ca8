#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/identifiers/SubmissionId.h"
#include "rattanroad_core/time/Clock.h"

#include <memory>

namespace rattanroad {

/** Bindings of callers' own keys to submission ids on the key home, the entry host that the key hashes to.

    A binding lives for the retention time since its last use. It exists in memory only, so a home that cannot exclude
    that an earlier process, or another host, bound the key within that time refuses it: a second binding would run the
    request twice. Not thread safe: one loop calls everything.
    @see docs/design.md, "Where the authoritative state of a submission is kept"
*/
class KeyDirectory {
public:
    struct Settings {
        /** Time since the last use after which a key may be bound again. */
        Duration retention { std::chrono::minutes(10) };
    };

    /** What the store said when this process registered as the key home of its host. The registration carries a lease
        of the retention time that its process renews, so an earlier one is visible for as long as its bindings count.
    */
    enum class Registration {
        NoEarlierProcess,
        EarlierProcess,
        StoreUnavailable,
    };

    struct Binding {
        SubmissionId id;
        /** The key was bound by this call. */
        bool isNew { false };
    };

    KeyDirectory(Settings settings, Clock& clock);
    ~KeyDirectory();
    KeyDirectory(const KeyDirectory&) = delete;
    KeyDirectory& operator=(const KeyDirectory&) = delete;

    /** Reports the outcome of a registration; may be repeated while the store is unavailable. Until the first report
        keys are refused.
    */
    void setRegistration(Registration registration);
    /** The configured set of entry hosts changed, so keys may have been bound at another home until now. */
    void setHomesChanged();

    /** Returns the id that @p key of @p team is bound to, after binding it to @p proposed when there is none.
        Fails with FailureCode::NotDecidedHere, not run, while an unknown binding cannot be excluded.
    */
    Result<Binding> bind(const TeamId& team, const std::string& key, const SubmissionId& proposed);

    /** Drops bindings that are past their retention. */
    void tick();
    /** Returns when tick() is needed next. */
    TimePoint nextWakeup() const;
    std::size_t size() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
