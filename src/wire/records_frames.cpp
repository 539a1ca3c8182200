#include "wire/codec.h"
#include "wire/impl/fields.h"
#include "wire/impl/sealed.h"

namespace baobabtrail::wire {

namespace {

/// Largest message between daemons over HTTP, in bytes. Snapshots are sent in shards of a
/// megabyte.
constexpr std::size_t MaxRecordsBytes = 32 << 20;

class RecordsWriter
{
public:
    explicit RecordsWriter(pb::RecordsFrame &out) noexcept
        : m_out(out)
    {
    }

    void operator()(const FetchRecords &in) const
    {
        pb::FetchRecords &body = *m_out.mutable_fetch_records();
        body.set_after(in.after.value());
        body.set_limit(in.limit);
    }

    void operator()(const Records &in) const
    {
        pb::Records &body = *m_out.mutable_records();
        for (const std::string &shard : in.snapshotShards)
            body.add_snapshot_shards(shard);
        body.set_snapshot_revision(in.snapshotRevision.value());
        for (const std::string &record : in.records)
            body.add_records(record);
        body.set_latest(in.latest.value());
    }

    void operator()(const FetchStatus &) const { m_out.mutable_fetch_status(); }

    void operator()(const DomainStatus &in) const
    {
        pb::DomainStatus &body = *m_out.mutable_domain_status();
        body.set_domain(in.domain);
        body.set_revision(in.revision.value());
        for (const MemberUpdate &member : in.members)
            impl::write(member, *body.add_members());
        body.set_config_age(impl::packDuration(in.configAge));
    }

private:
    pb::RecordsFrame &m_out;
};

template <typename Strings>
[[nodiscard]] std::vector<std::string> takeAll(Strings &strings)
{
    return {std::make_move_iterator(strings.begin()), std::make_move_iterator(strings.end())};
}

[[nodiscard]] Records readRecords(pb::Records &in)
{
    Records out;
    out.snapshotShards = takeAll(*in.mutable_snapshot_shards());
    out.snapshotRevision = Revision{in.snapshot_revision()};
    out.records = takeAll(*in.mutable_records());
    out.latest = Revision{in.latest()};
    return out;
}

[[nodiscard]] Decoded<RecordsMessage> readStatus(pb::DomainStatus &in)
{
    DomainStatus out;
    out.domain = std::move(*in.mutable_domain());
    out.revision = Revision{in.revision()};
    out.members.resize(static_cast<std::size_t>(in.members_size()));
    std::size_t index = 0;
    for (pb::MemberUpdate &member : *in.mutable_members()) {
        if (!impl::read(member, out.members[index++]))
            return DecodeError::Malformed;
    }
    if (!impl::readDuration(in.config_age(), out.configAge))
        return DecodeError::Malformed;
    return RecordsMessage{std::move(out)};
}

[[nodiscard]] Decoded<RecordsMessage> read(pb::RecordsFrame &in)
{
    switch (in.body_case()) {
    case pb::RecordsFrame::kFetchRecords:
        return RecordsMessage{
            FetchRecords{Revision{in.fetch_records().after()}, in.fetch_records().limit()}};
    case pb::RecordsFrame::kRecords:
        return RecordsMessage{readRecords(*in.mutable_records())};
    case pb::RecordsFrame::kFetchStatus:
        return RecordsMessage{FetchStatus{}};
    case pb::RecordsFrame::kDomainStatus:
        return readStatus(*in.mutable_domain_status());
    case pb::RecordsFrame::BODY_NOT_SET:
        break;
    }
    return DecodeError::UnknownKind;
}

} // namespace

std::string encode(const RecordsMessage &message, const KeyRing &keys)
{
    pb::DaemonFrame frame;
    std::visit(RecordsWriter{*frame.mutable_records()}, message);
    return impl::seal(frame, keys);
}

Decoded<RecordsMessage> decodeRecords(std::string_view bytes, const KeyRing &keys)
{
    pb::DaemonFrame frame;
    if (const auto error = impl::unseal(bytes, MaxRecordsBytes, keys, frame))
        return *error;
    if (!frame.has_records())
        return DecodeError::UnknownKind;
    return read(*frame.mutable_records());
}

} // namespace baobabtrail::wire
