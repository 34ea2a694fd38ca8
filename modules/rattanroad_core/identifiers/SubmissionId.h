#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/identifiers/Identifiers.h"

#include <string_view>
#include <tuple>
#include <vector>

namespace rattanroad {

/** Identifies a segment: a group of one owner's submissions that share a view, that is, one set of journal members. */
struct SegmentKey {
    FailureDomainId failureDomain;
    HostId owner;
    Incarnation incarnation;
    SegmentNumber segment;

    /** Returns the text form, with '/' between the parts, that is the last part of the segment's key in the store. */
    std::string text() const;

    friend bool operator<(const SegmentKey& left, const SegmentKey& right)
    {
        return std::tie(left.incarnation, left.segment, left.owner, left.failureDomain)
            < std::tie(right.incarnation, right.segment, right.owner, right.failureDomain);
    }
    friend bool operator==(const SegmentKey& left, const SegmentKey& right)
    {
        return std::tie(left.incarnation, left.segment, left.owner, left.failureDomain)
            == std::tie(right.incarnation, right.segment, right.owner, right.failureDomain);
    }
};

/** Identifies one submission and, without a lookup, the hosts that can decide about it: the owner and the backups that
    hold its journal at epoch 0. Comparison and hashing leave out the backups, as the segment determines them.

    Text form, in which '-' stands for no backups:
    r1.<domain>.<owner>.<incarnation hex>.<segment>.<backup[+backup]|->.<sequence>.<checksum hex>
*/
struct SubmissionId {
    SegmentKey segment;
    std::vector<HostId> backups;
    SequenceNumber sequence;

    /** Returns the text form with its checksum. */
    std::string text() const;

    /** Parses the text form.
        Fails with FailureCode::InvalidSubmissionId when a part is malformed or the checksum does not match.
    */
    static Result<SubmissionId> parse(std::string_view text);

    friend bool operator<(const SubmissionId& left, const SubmissionId& right)
    {
        return std::tie(left.sequence, left.segment) < std::tie(right.sequence, right.segment);
    }
    friend bool operator==(const SubmissionId& left, const SubmissionId& right)
    {
        return left.sequence == right.sequence && left.segment == right.segment;
    }
};

}

namespace std {

template <> struct hash<rattanroad::SegmentKey> {
    size_t operator()(const rattanroad::SegmentKey& key) const
    {
        // The random bits of the incarnation differ between process starts; the number differs within one start.
        return hash<uint64_t> {}(key.incarnation.value() * 31 + key.segment.value());
    }
};

template <> struct hash<rattanroad::SubmissionId> {
    size_t operator()(const rattanroad::SubmissionId& id) const
    {
        return hash<rattanroad::SegmentKey> {}(id.segment) * 1000003 + id.sequence.value();
    }
};

}
