#include "platform/impl/json_form.h"

#include <boost/json.hpp>
#include <sodium.h>

#include <stdexcept>

namespace baobabtrail::impl {

namespace json = boost::json;

namespace {

[[nodiscard]] std::string textOf(const json::object &object, std::string_view name)
{
    const json::string &text = object.at(name).as_string();
    return {text.data(), text.size()};
}

[[nodiscard]] std::string bytesOf(const json::object &object, std::string_view name)
{
    const json::string &text = object.at(name).as_string();
    std::string out(text.size(), '\0');
    std::size_t length = 0;
    const int status
        = sodium_base642bin(reinterpret_cast<unsigned char *>(out.data()), out.size(), text.data(),
                            text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (status != 0)
        throw std::runtime_error("a value is not base64");
    out.resize(length);
    return out;
}

[[nodiscard]] std::uint64_t numberOf(const json::object &object, std::string_view name)
{
    return object.at(name).to_number<std::uint64_t>();
}

[[nodiscard]] Endpoint endpointOf(const json::object &object, std::string_view name)
{
    const auto endpoint = parseEndpoint(textOf(object, name));
    if (!endpoint)
        throw std::runtime_error(std::string{name} + " is not an address");
    return *endpoint;
}

[[nodiscard]] ObjectList readObjects(const json::object &root)
{
    ObjectList list;
    for (const json::value &value : root.at("objects").as_array()) {
        const json::object &entry = value.as_object();
        list.objects.push_back({textOf(entry, "key"), bytesOf(entry, "value"),
                                ObjectVersion{numberOf(entry, "version")}});
    }
    list.latest = ObjectVersion{numberOf(root, "latest")};
    return list;
}

[[nodiscard]] VmList readVms(const json::object &root)
{
    VmList list;
    for (const json::value &value : root.at("vms").as_array()) {
        const json::object &entry = value.as_object();
        list.vms.push_back({DaemonId{numberOf(entry, "daemon")}, textOf(entry, "domain"),
                            endpointOf(entry, "address"), endpointOf(entry, "records"),
                            entry.at("leaving").as_bool()});
    }
    return list;
}

/// \brief Turns whatever is wrong with the text into a result: nothing that the platform sends
/// may end the daemon.
template <typename Read>
[[nodiscard]] PlatformResult parse(std::string_view text, const char *subject, Read read)
{
    try {
        const json::value root = json::parse({text.data(), text.size()});
        return read(root.as_object());
    } catch (const std::exception &error) {
        return PlatformFailure{std::string{"the platform's "} + subject
                               + " can't be read: " + error.what()};
    }
}

} // namespace

PlatformResult parseObjectList(std::string_view text)
{
    return parse(text, "list of objects", readObjects);
}

PlatformResult parseVmList(std::string_view text)
{
    return parse(text, "list of VMs", readVms);
}

} // namespace baobabtrail::impl
