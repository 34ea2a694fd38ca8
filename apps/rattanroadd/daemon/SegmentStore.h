#pragma once

#include "rattanroad_ledger/rattanroad_ledger.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>

namespace rattanroad::daemon {

/** Changes views of segments by compare-and-swap on /rattanroad/segments/<segment> in the store. */
class SegmentStore {
public:
    using ResultCallback = std::function<void(const ViewChangeResult&)>;

    /** @p writer identifies this process in the records, so that a write whose reply was lost is recognized. */
    SegmentStore(platform::StoreClient& store, Clock& clock, std::string writer, ResultCallback ended);
    SegmentStore(const SegmentStore&) = delete;
    SegmentStore& operator=(const SegmentStore&) = delete;

    /** The result callback follows exactly once. */
    void change(const ViewChange& change);

private:
    using LeaseCallback = std::function<void(platform::StoreLease)>;

    void withLease(const LeaseCallback& next);
    void write(const ViewChange& change, platform::StoreRevision expected, platform::StoreLease lease);
    void readAndWrite(const ViewChange& change, platform::StoreLease lease);
    void readBack(const ViewChange& change);
    /** Reports the outcome that the record @p current shows; false when the record is the one expected before. */
    bool decide(const ViewChange& change, const std::optional<platform::StoreEntry>& current);
    void report(const ViewChange& change, ViewChangeResult::Kind kind, const SegmentView& current);

    platform::StoreClient& m_store;
    Clock& m_clock;
    std::string m_writer;
    ResultCallback m_ended;
    platform::StoreLease m_lease;
    TimePoint m_leaseGrantedAt;
};

}
