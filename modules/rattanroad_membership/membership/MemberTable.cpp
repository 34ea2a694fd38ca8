#include "rattanroad_membership/membership/MemberTable.h"

#include "rattanroad_membership/membership/MemberRecords.h"
#include "rattanroad_membership/membership/OuterRotation.h"
#include "rattanroad_membership/membership/SendLimit.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

namespace {

    // Entries forwarded inside the failure domain per inner heartbeat. Four heartbeats a second then describe the 24
    // hosts outside that a domain of the planned size has.
    constexpr size_t innerDigestSize = 6;

    // One in so many inner heartbeats describes its sender; the others leave out what the receiver knows, about 40
    // bytes.
    constexpr std::uint64_t describedRounds = 4;

    // Outer members are asked directly from this share of the timeout on. The rest of it leaves time for two questions,
    // so that a few lost messages don't declare a live host dead.
    constexpr int probeAgeEighths = 5;

    std::uint32_t ageInMilliseconds(Duration age)
    {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    }

}

class MemberTable::Impl {
public:
    Impl(Settings settings, Clock& clock, RandomSource& random, Hooks hooks);

    void heartbeatFrom(const HostId& host, Incarnation incarnation, const protocol::Heartbeat& heartbeat);
    void messageFrom(const HostId& host, Incarnation incarnation);
    void tick();

    Settings settings;
    Clock& clock;
    RandomSource& random;
    Hooks hooks;
    MemberRecords records;
    Statistics statistics;
    TimePoint nextInner;
    TimePoint nextOuter;

private:
    using Digest = std::vector<protocol::MemberState>;

    void handle(MemberRecords::News news, const HostId& host);
    void readDigest(const protocol::Heartbeat& heartbeat, bool isFromInside);
    void sendInner();
    void sendOuter();
    void contactSilentHosts();
    void probeOldMembers();
    /** Asks the host at @p address to make itself known; the empty digest asks for an answer. */
    void contact(const std::string& address);
    void answer(const Member& member);
    void send(const std::string& address, const Digest& digest, bool isDescribed = true);
    void describeSelf(protocol::MemberState& state) const;
    Digest innerDigest();
    Digest outerDigest(const HostId& receiver);
    Digest describe(std::vector<const MemberRecord*> chosen, size_t limit) const;
    bool isAddressOfLiveMember(const std::string& address) const;
    void reportChange();

    OuterRotation m_rotation;
    // The limits keep digests that go on naming a dead host, and two new hosts that answer each other, from causing
    // more than one message per interval.
    SendLimit m_contactLimit;
    SendLimit m_answerLimit;
    SendLimit m_probeLimit;
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_innerRound { 0 };
    TimePoint m_lastTick;
    bool m_isAnswered { false };
};

MemberTable::Impl::Impl(Settings givenSettings, Clock& givenClock, RandomSource& givenRandom, Hooks givenHooks)
    : settings(std::move(givenSettings))
    , clock(givenClock)
    , random(givenRandom)
    , hooks(std::move(givenHooks))
    , records(settings, clock)
    , nextInner(clock.now())
    , nextOuter(clock.now())
    , m_rotation(random)
    , m_contactLimit(settings.outerInterval)
    , m_answerLimit(settings.outerInterval)
    , m_probeLimit(settings.outerInterval / 2)
    , m_lastTick(clock.now())
{
    assert(hooks.send);
    settings.self.lastHeard = clock.now();
}

void MemberTable::Impl::reportChange()
{
    if (hooks.changed)
        hooks.changed();
}

void MemberTable::Impl::heartbeatFrom(const HostId& host, Incarnation incarnation, const protocol::Heartbeat& heartbeat)
{
    const auto& state = heartbeat.self();
    if (state.host().empty()) {
        const auto news = records.briefHeartbeat(host, incarnation, heartbeat.sequence(), state.draining());
        // Brief heartbeats go to hosts of the own failure domain only.
        if (news != MemberRecords::News::Ignored)
            readDigest(heartbeat, true);
        return handle(news, host);
    }
    // A message whose parts contradict each other is not a heartbeat of that host.
    if (state.host() != host.value() || state.incarnation() != incarnation.value() || state.address().empty())
        return;
    const auto news = records.heartbeat(state, heartbeat.sequence());
    if (news == MemberRecords::News::Ignored)
        return;
    m_isAnswered = true;
    const auto& member = records.all().at(host).member;
    readDigest(heartbeat, records.isInside(member));
    // An outer heartbeat without a digest is a contact; its sender repeats it until it hears from this host.
    const bool isContact = !records.isInside(member) && heartbeat.known_members().empty();
    if (news == MemberRecords::News::Joined || isContact)
        answer(member);
    handle(news, host);
}

void MemberTable::Impl::messageFrom(const HostId& host, Incarnation incarnation)
{
    handle(records.message(host, incarnation), host);
}

void MemberTable::Impl::handle(MemberRecords::News news, const HostId& host)
{
    if (news == MemberRecords::News::Ignored || news == MemberRecords::News::SignOfLife)
        return;
    if (news == MemberRecords::News::Replaced) {
        ++statistics.membersDied;
        contact(records.all().at(host).member.address);
    }
    reportChange();
}

void MemberTable::Impl::readDigest(const protocol::Heartbeat& heartbeat, bool isFromInside)
{
    bool hasChanged = false;
    for (const auto& state : heartbeat.known_members()) {
        const auto address = records.hearsay(state, isFromInside, hasChanged);
        if (!address.empty())
            contact(address);
    }
    if (hasChanged)
        reportChange();
}

void MemberTable::Impl::tick()
{
    const auto now = clock.now();
    // While this host was paused, heartbeats waited in its sockets; they are read before anyone is judged.
    if (now - m_lastTick > settings.innerTimeout)
        records.extendAfterPause();
    m_lastTick = now;
    const auto died = records.expire();
    statistics.membersDied += died;
    if (now >= nextInner) {
        sendInner();
        nextInner = now + settings.innerInterval;
    }
    if (now >= nextOuter) {
        sendOuter();
        contactSilentHosts();
        nextOuter = now + settings.outerInterval;
    }
    probeOldMembers();
    if (died)
        reportChange();
}

void MemberTable::Impl::sendInner()
{
    const auto digest = innerDigest();
    const bool isDescribed = m_innerRound++ % describedRounds == 0;
    for (const auto& [host, record] : records.all()) {
        if (record.isAlive && records.isInside(record.member))
            send(record.member.address, digest, isDescribed);
    }
}

void MemberTable::Impl::sendOuter()
{
    for (const auto& member : m_rotation.next(records, settings.outerFanout))
        send(member.address, outerDigest(member.host));
}

void MemberTable::Impl::contactSilentHosts()
{
    std::vector<std::string> addresses;
    for (const auto& address : settings.seedAddresses) {
        if (address != settings.self.address && !isAddressOfLiveMember(address))
            addresses.push_back(address);
    }
    if (!m_isAnswered) {
        for (const auto& address : addresses)
            contact(address);
        return;
    }
    // After the start one silent host per interval is enough to notice the end of a partition.
    for (const auto& [host, record] : records.all()) {
        if (!record.isAlive)
            addresses.push_back(record.member.address);
    }
    if (!addresses.empty())
        contact(addresses[random.below(addresses.size())]);
}

void MemberTable::Impl::probeOldMembers()
{
    const auto now = clock.now();
    for (const auto& [host, record] : records.all()) {
        const auto& member = record.member;
        const bool isOld = now - member.lastHeard >= settings.outerTimeout * probeAgeEighths / 8;
        // One answer describes its whole failure domain.
        if (record.isAlive && !records.isInside(member) && isOld
            && m_probeLimit.admits(member.failureDomain.value(), now))
            contact(member.address);
    }
}

bool MemberTable::Impl::isAddressOfLiveMember(const std::string& address) const
{
    return std::any_of(records.all().begin(), records.all().end(),
        [&](const auto& entry) { return entry.second.isAlive && entry.second.member.address == address; });
}

void MemberTable::Impl::contact(const std::string& address)
{
    if (m_contactLimit.admits(address, clock.now()))
        send(address, {});
}

void MemberTable::Impl::answer(const Member& member)
{
    if (m_answerLimit.admits(member.address, clock.now()))
        send(member.address, outerDigest(HostId()));
}

void MemberTable::Impl::describeSelf(protocol::MemberState& state) const
{
    state.set_host(settings.self.host.value());
    state.set_incarnation(settings.self.incarnation.value());
    state.set_failure_domain(settings.self.failureDomain.value());
    state.set_address(settings.self.address);
    state.set_rack(settings.self.rack.value());
    state.set_region(settings.self.region.value());
}

void MemberTable::Impl::send(const std::string& address, const Digest& digest, bool isDescribed)
{
    protocol::Envelope envelope;
    envelope.set_version(protocol::protocolVersion);
    envelope.set_from_host(settings.self.host.value());
    envelope.set_from_incarnation(settings.self.incarnation.value());
    auto& heartbeat = *envelope.mutable_heartbeat();
    heartbeat.set_sequence(++m_sequence);
    heartbeat.mutable_self()->set_draining(settings.self.isDraining);
    if (isDescribed)
        describeSelf(*heartbeat.mutable_self());
    for (const auto& entry : digest)
        *heartbeat.add_known_members() = entry;
    if (hooks.fillHeartbeat)
        hooks.fillHeartbeat(heartbeat);
    ++statistics.heartbeatsSent;
    statistics.heartbeatBytesSent += envelope.ByteSizeLong();
    hooks.send(address, std::move(envelope));
}

MemberTable::Impl::Digest MemberTable::Impl::innerDigest()
{
    std::vector<const MemberRecord*> fresh;
    for (auto& [host, record] : records.all()) {
        // Smaller steps would cost more bytes than they shorten the ages.
        const bool isNews = record.member.lastHeard - record.sharedInside >= settings.outerInterval * 3 / 4;
        if (record.isAlive && !records.isInside(record.member) && isNews)
            fresh.push_back(&record);
    }
    auto digest = describe(std::move(fresh), innerDigestSize);
    for (const auto& state : digest) {
        auto& record = records.all().at(HostId(state.host()));
        record.sharedInside = record.member.lastHeard;
    }
    return digest;
}

MemberTable::Impl::Digest MemberTable::Impl::outerDigest(const HostId& receiver)
{
    // The own domain first, since the receiver may have no fresher source for it; then a random choice of what was
    // heard lately. Always relaying the newest would repeat the two domains that were heard last.
    std::vector<const MemberRecord*> inside;
    std::vector<const MemberRecord*> outside;
    for (const auto& [host, record] : records.all()) {
        if (!record.isAlive || host == receiver)
            continue;
        const bool isInside = records.isInside(record.member);
        if (isInside || clock.now() - record.member.lastHeard < settings.outerTimeout / 2)
            (isInside ? inside : outside).push_back(&record);
    }
    while (inside.size() < settings.digestSize && !outside.empty()) {
        const auto position = outside.begin() + static_cast<std::ptrdiff_t>(random.below(outside.size()));
        inside.push_back(*position);
        outside.erase(position);
    }
    return describe(std::move(inside), settings.digestSize);
}

MemberTable::Impl::Digest MemberTable::Impl::describe(std::vector<const MemberRecord*> chosen, size_t limit) const
{
    const auto isYounger = [](const MemberRecord* left, const MemberRecord* right) {
        return left->member.lastHeard > right->member.lastHeard;
    };
    std::stable_sort(chosen.begin(), chosen.end(), isYounger);
    chosen.resize(std::min(chosen.size(), limit));
    Digest digest;
    for (const auto* record : chosen) {
        // Domain, region and rack follow in the member's own heartbeat; leaving them out halves the entry.
        protocol::MemberState state;
        state.set_host(record->member.host.value());
        state.set_incarnation(record->member.incarnation.value());
        state.set_address(record->member.address);
        state.set_draining(record->member.isDraining);
        state.set_age_ms(ageInMilliseconds(clock.now() - record->member.lastHeard));
        digest.push_back(std::move(state));
    }
    return digest;
}

MemberTable::MemberTable(Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, random, std::move(hooks)))
{
}

MemberTable::~MemberTable() = default;

void MemberTable::heardFrom(const HostId& host, Incarnation incarnation, const protocol::Heartbeat* heartbeat)
{
    if (host == m_impl->settings.self.host)
        return;
    if (heartbeat)
        m_impl->heartbeatFrom(host, incarnation, *heartbeat);
    else
        m_impl->messageFrom(host, incarnation);
}

void MemberTable::setDraining(bool isDraining)
{
    if (m_impl->settings.self.isDraining == isDraining)
        return;
    m_impl->settings.self.isDraining = isDraining;
    m_impl->nextInner = m_impl->clock.now();
    m_impl->nextOuter = m_impl->clock.now();
}

const Member& MemberTable::self() const { return m_impl->settings.self; }

std::vector<Member> MemberTable::liveMembers() const
{
    std::vector<Member> live;
    for (const auto& [host, record] : m_impl->records.all()) {
        if (record.isAlive)
            live.push_back(record.member);
    }
    return live;
}

const Member* MemberTable::find(const HostId& host) const
{
    const auto& records = m_impl->records.all();
    const auto found = records.find(host);
    return found != records.end() && found->second.isAlive ? &found->second.member : nullptr;
}

void MemberTable::tick() { m_impl->tick(); }

TimePoint MemberTable::nextWakeup() const
{
    return std::min({ m_impl->nextInner, m_impl->nextOuter, m_impl->records.nextExpiry() });
}

MemberTable::Statistics MemberTable::statistics() const { return m_impl->statistics; }

}
