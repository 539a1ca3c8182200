#include "wire/answer_reader.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse_options.hpp>

#include <utility>

namespace baobabtrail::wire {

namespace json = boost::json;

namespace {

/// Key of the lists of objects.
constexpr std::string_view ListKey = "written";
/// Valid answers are nested at most 4 deep.
constexpr std::size_t MaxNesting = 32;

} // namespace

// NOLINTBEGIN(readability-identifier-naming): Boost.JSON names the members of a handler.

/// \brief Builds a document from all values but the lists of objects.
class AnswerReader::Handler
{
public:
    static constexpr std::size_t max_object_size = json::object::max_size();
    static constexpr std::size_t max_array_size = json::array::max_size();
    static constexpr std::size_t max_key_size = json::string::max_size();
    static constexpr std::size_t max_string_size = json::string::max_size();

    Handler() { stack.reset(); }

    json::value_stack stack;
    std::vector<std::vector<StoredObject>> lists;

    bool on_document_begin(json::error_code & /*error*/) { return true; }
    bool on_document_end(json::error_code & /*error*/) { return true; }

    bool on_object_begin(json::error_code &error)
    {
        if (!m_inList)
            return true;
        if (std::exchange(m_inObject, true))
            return fail(error);
        m_object = {};
        m_fields = 0;
        return true;
    }
    bool on_object_end(std::size_t count, json::error_code &error)
    {
        if (!m_inList) {
            stack.push_object(count);
            return true;
        }
        if (m_fields != AllFields)
            return fail(error);
        m_inObject = false;
        lists.back().push_back(std::move(m_object));
        return true;
    }
    bool on_array_begin(json::error_code &error)
    {
        if (m_inList)
            return fail(error);
        m_inList = std::exchange(m_key, {}) == ListKey;
        if (m_inList)
            lists.emplace_back();
        return true;
    }
    bool on_array_end(std::size_t count, json::error_code & /*error*/)
    {
        if (std::exchange(m_inList, false))
            stack.push_uint64(lists.size() - 1);
        else
            stack.push_array(count);
        return true;
    }

    bool on_key_part(json::string_view text, std::size_t /*size*/, json::error_code & /*error*/)
    {
        m_keyPart.append(text.data(), text.size());
        return true;
    }
    bool on_key(json::string_view text, std::size_t /*size*/, json::error_code & /*error*/)
    {
        m_keyPart.append(text.data(), text.size());
        m_key = std::exchange(m_keyPart, {});
        if (!m_inList)
            stack.push_key(m_key);
        return true;
    }
    bool on_string_part(json::string_view text, std::size_t /*size*/, json::error_code &error)
    {
        return addText(text, error);
    }
    bool on_string(json::string_view text, std::size_t /*size*/, json::error_code &error)
    {
        if (!addText(text, error))
            return false;
        if (!m_inList) {
            stack.push_string(std::exchange(m_text, {}));
            m_key.clear();
            return true;
        }
        m_fields |= m_key == "key" ? KeyField : ValueField;
        return true;
    }

    bool on_number_part(json::string_view /*text*/, json::error_code & /*error*/) { return true; }
    bool on_int64(std::int64_t number, json::string_view /*text*/, json::error_code &error)
    {
        if (m_inList)
            return number >= 0 ? addVersion(static_cast<std::uint64_t>(number), error)
                               : fail(error);
        stack.push_int64(number);
        return true;
    }
    bool on_uint64(std::uint64_t number, json::string_view /*text*/, json::error_code &error)
    {
        if (m_inList)
            return addVersion(number, error);
        stack.push_uint64(number);
        return true;
    }
    bool on_double(double number, json::string_view /*text*/, json::error_code &error)
    {
        if (m_inList)
            return fail(error);
        stack.push_double(number);
        return true;
    }
    bool on_bool(bool value, json::error_code &error)
    {
        if (m_inList)
            return fail(error);
        stack.push_bool(value);
        return true;
    }
    bool on_null(json::error_code &error)
    {
        if (m_inList)
            return fail(error);
        stack.push_null();
        return true;
    }
    bool on_comment_part(json::string_view /*text*/, json::error_code & /*error*/) { return true; }
    bool on_comment(json::string_view /*text*/, json::error_code & /*error*/) { return true; }

private:
    static constexpr unsigned KeyField = 1;
    static constexpr unsigned ValueField = 2;
    static constexpr unsigned VersionField = 4;
    static constexpr unsigned AllFields = KeyField | ValueField | VersionField;

    [[nodiscard]] static bool fail(json::error_code &error)
    {
        error = json::error::not_object;
        return false;
    }
    [[nodiscard]] bool addText(json::string_view text, json::error_code &error)
    {
        if (!m_inList) {
            m_text.append(text.data(), text.size());
            return true;
        }
        if (!m_inObject || (m_key != "key" && m_key != "value"))
            return fail(error);
        (m_key == "key" ? m_object.key : m_object.value).append(text.data(), text.size());
        return true;
    }
    [[nodiscard]] bool addVersion(std::uint64_t version, json::error_code &error)
    {
        if (!m_inObject || m_key != "version")
            return fail(error);
        m_object.version = ObjectVersion{version};
        m_fields |= VersionField;
        return true;
    }

    std::string m_key;     ///< The last one; of an array, empty once it has begun.
    std::string m_keyPart; ///< Of a key that is not complete yet.
    std::string m_text;    ///< Of a string that is not complete yet.
    bool m_inList = false;
    bool m_inObject = false;
    StoredObject m_object;
    unsigned m_fields = 0; ///< Fields of \a m_object that were read.
};

// NOLINTEND(readability-identifier-naming)

AnswerReader::AnswerReader()
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    options.max_depth = MaxNesting;
    m_parser = std::make_unique<Parser>(options);
}

AnswerReader::~AnswerReader() = default;

void AnswerReader::write(std::string_view text)
{
    json::error_code error;
    const std::size_t read = m_parser->write_some(true, text.data(), text.size(), error);
    if (!error && read < text.size())
        error = json::error::extra_data;
    if (error)
        throw boost::system::system_error{error};
}

json::value AnswerReader::finish()
{
    json::error_code error;
    (void)m_parser->write_some(false, nullptr, 0, error);
    if (!error && !m_parser->done())
        error = json::error::incomplete;
    if (error)
        throw boost::system::system_error{error};
    return m_parser->handler().stack.release();
}

std::vector<std::vector<StoredObject>> &AnswerReader::lists() noexcept
{
    return m_parser->handler().lists;
}

} // namespace baobabtrail::wire
