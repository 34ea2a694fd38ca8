#pragma once

#include "rattanroad_ledger/rattanroad_ledger.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>

namespace rattanroad::daemon {

/** Changes the views of segments (epoch, owner and members) by compare-and-swap on /rattanroad/segments/<segment> in
   the store.
*/
class SegmentStore {
public:
    using ResultCallback = std::function<void(const ViewChangeResult&)>;

    /** @p writer identifies this process in the records, so that it recognizes its own write after a lost reply. */
    SegmentStore(platform::StoreClient& store, Clock& clock, std::string writer, ResultCallback callback);
    SegmentStore(const SegmentStore&) = delete;
    SegmentStore& operator=(const SegmentStore&) = delete;

    /** Starts a view change; the result callback is called exactly once for it. */
    void change(const ViewChange& change);

private:
    using LeaseCallback = std::function<void(platform::StoreLease)>;

    /** Calls @p next with a store lease for the record, or with 0 when none was granted. */
    void withLease(const LeaseCallback& next);
    void write(const ViewChange& change, platform::StoreRevision expected, platform::StoreLease lease);
    void readAndWrite(const ViewChange& change, platform::StoreLease lease);
    /** Reads the record after a write with an unknown outcome. */
    void readBack(const ViewChange& change);
    /** Reports the change as won or lost if the record @p current has at least the requested epoch. Returns false,
       without a report, when it is absent, malformed or older.
    */
    bool reportIfDecided(const ViewChange& change, const std::optional<platform::StoreEntry>& current);
    void report(const ViewChange& change, ViewChangeResult::Kind kind, const SegmentView& current);

    platform::StoreClient& m_store;
    Clock& m_clock;
    std::string m_writer;
    ResultCallback m_callback;
    platform::StoreLease m_lease;
    TimePoint m_leaseGrantedAt;
};

}
