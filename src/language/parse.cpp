#include "language/parse.h"

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

#include <bitset>

BOOST_FUSION_ADAPT_STRUCT(baobabtrail::ServiceName, workspace, service)
BOOST_FUSION_ADAPT_STRUCT(baobabtrail::TargetName, service, target)
BOOST_FUSION_ADAPT_STRUCT(baobabtrail::language::Filter, column, negated, value)

namespace baobabtrail::language {

namespace {

namespace x3 = boost::spirit::x3;
namespace fusion = boost::fusion;
using Iterator = std::string_view::const_iterator;

const auto WordLetter = x3::char_("a-zA-Z0-9_-");

/// \brief Parser of a keyword, by which syntax errors name it too.
[[nodiscard]] auto keyword(const char *word)
{
    return x3::rule<struct KeywordRule>{word} = x3::lexeme[x3::lit(word) >> !WordLetter];
}

/// Semantic action: assigns the attribute to the rule's value.
constexpr auto Assign = [](auto &context) { x3::_val(context) = x3::_attr(context); };

/// Semantic action: assigns a default-constructed value.
template <typename Value>
constexpr auto MakeEmpty = [](auto &context) { x3::_val(context) = Value{}; };

/// Semantic action: constructs the value from the attribute.
template <typename Value>
constexpr auto Make = [](auto &context) { x3::_val(context) = Value{x3::_attr(context)}; };

/// Semantic action: constructs the value from the two parts of the attribute.
template <typename Value>
constexpr auto MakeOfTwo = [](auto &context) {
    x3::_val(context)
        = Value{fusion::at_c<0>(x3::_attr(context)), fusion::at_c<1>(x3::_attr(context))};
};

// NOLINTBEGIN(readability-identifier-naming): BOOST_SPIRIT_DEFINE requires names with _def.

// Tokens: names, texts, numbers and addresses.

const x3::rule<struct NameRule, std::string> Name{"a name (letters, digits, '-', '_' or '.')"};
const auto Name_def = x3::lexeme[+x3::char_("a-zA-Z0-9_.-")];

const x3::rule<struct TextRule, std::string> Text{"a name or a 'quoted text'"};
const auto Text_def
    = x3::lexeme[+x3::char_("a-zA-Z0-9_./:-")] | x3::lexeme['\'' > *(x3::char_ - '\'') > '\''];

// The operators' language calls workspaces tenants.
const x3::rule<struct ServiceRule, ServiceName> Service{"a service name (tenant/service)"};
const auto Service_def = Name >> '/' >> Name;

const x3::rule<struct TargetRule, TargetName> Target{"a target name (tenant/service/target)"};
const auto Target_def = Service >> '/' >> Name;

const x3::rule<struct NumberRule, std::uint32_t> Number{"a whole number"};
const auto Number_def = x3::lexeme[x3::uint32 >> !x3::char_("a-zA-Z0-9_.-")];

const x3::rule<struct PositiveNumberRule, std::uint32_t> PositiveNumber{"a whole number above 0"};
const auto PositiveNumber_def = Number[([](auto &context) {
    x3::_val(context) = x3::_attr(context);
    x3::_pass(context) = x3::_attr(context) > 0;
})];

const x3::rule<struct AddressTextRule, std::string> AddressText{"an address"};
const auto AddressText_def = x3::lexeme[+x3::char_("0-9.:")];

const x3::rule<struct AddressRule, Endpoint> Address{
    "an IPv4 address with a port, such as 127.0.0.1:9000"};
const auto Address_def = AddressText[([](auto &context) {
    const auto endpoint = parseEndpoint(x3::_attr(context));
    x3::_pass(context) = endpoint.has_value();
    x3::_val(context) = endpoint.value_or(Endpoint{});
})];

const x3::rule<struct KeyHashRule, std::string> KeyHash{"a key hash of 64 hexadecimal digits"};
const auto KeyHash_def = x3::lexeme[x3::repeat(64)[x3::xdigit] >> !x3::xdigit];

const x3::rule<struct SecondsRule, Duration> Seconds{"a time in whole seconds, such as 30s"};
const auto Seconds_def = x3::lexeme[x3::uint32 >> 's'][(
    [](auto &context) { x3::_val(context) = std::chrono::seconds{x3::_attr(context)}; })];

// Settings of a command, in any order; each may appear at most once.

template <typename Value, std::size_t Count>
struct Settings
{
    Value value{};
    std::bitset<Count> seen;
};

/// \brief Semantic action that stores a setting, and fails where it appears a second time.
template <std::size_t Index, typename Member>
[[nodiscard]] auto store(Member member)
{
    return [member](auto &context) {
        auto &settings = x3::_val(context);
        x3::_pass(context) = !settings.seen.test(Index);
        settings.seen.set(Index);
        settings.value.*member = x3::_attr(context);
    };
}

using LimitSettings = Settings<ServiceLimits, 3>;
const x3::rule<struct LimitSettingListRule, LimitSettings> LimitSettingList{
    "queue, share or retries, each once"};
const auto LimitSettingList_def
    = *((keyword("queue") > PositiveNumber)[store<0>(&ServiceLimits::queuePerSlot)]
        | (keyword("share") > PositiveNumber)[store<1>(&ServiceLimits::workspaceShare)]
        | (keyword("retries") > Number)[store<2>(&ServiceLimits::retryPercent)]);

const x3::rule<struct LimitsRule, ServiceLimits> Limits{"queue, share or retries, each once"};
const auto Limits_def
    = LimitSettingList[([](auto &context) { x3::_val(context) = x3::_attr(context).value; })];

using TargetSettings = Settings<AddTarget, 5>;
constexpr unsigned long RequiredTargetSettings = 0b111;
const x3::rule<struct TargetSettingListRule, TargetSettings> TargetSettingList{
    "domain, flows, requests, slots or weight, each once"};
const auto TargetSettingList_def
    = *((keyword("domain") > Name)[store<0>(&AddTarget::domain)]
        | (keyword("flows") > Address)[store<1>(&AddTarget::flows)]
        | (keyword("requests") > Address)[store<2>(&AddTarget::requests)]
        | (keyword("slots") > PositiveNumber)[store<3>(&AddTarget::slots)]
        | (keyword("weight") > Number)[store<4>(&AddTarget::weight)]);

const x3::rule<struct CompleteTargetSettingsRule, AddTarget> CompleteTargetSettings{
    "domain NAME, flows ADDRESS and requests ADDRESS, each once"};
const auto CompleteTargetSettings_def = TargetSettingList[([](auto &context) {
    const TargetSettings &settings = x3::_attr(context);
    const auto required = std::bitset<5>{RequiredTargetSettings};
    x3::_pass(context) = (settings.seen & required) == required;
    x3::_val(context) = settings.value;
})];

// Commands.

const x3::rule<struct DeclareWorkspaceRuleRule, Command> DeclareWorkspaceRule{
    "tenant NAME key-hash HEX"};
const auto DeclareWorkspaceRule_def
    = (keyword("tenant") > Name > keyword("key-hash") > KeyHash)[MakeOfTwo<DeclareWorkspace>];

const x3::rule<struct DeclareServiceRuleRule, Command> DeclareServiceRule{"service TENANT/SERVICE"};
const auto DeclareServiceRule_def
    = (keyword("service") > Service > Limits)[MakeOfTwo<DeclareService>];

const x3::rule<struct DeclareRule, Command> Declare{"tenant NAME or service TENANT/SERVICE"};
const auto Declare_def = DeclareWorkspaceRule | DeclareServiceRule;

const x3::rule<struct SetLimitsRuleRule, Command> SetLimitsRule{"limits TENANT/SERVICE"};
const auto SetLimitsRule_def = (keyword("limits") > Service > Limits)[MakeOfTwo<SetLimits>];

const x3::rule<struct SetWeightRuleRule, Command> SetWeightRule{"weight TENANT/SERVICE/TARGET"};
const auto SetWeightRule_def = (keyword("weight") > Target > Number)[MakeOfTwo<SetWeight>];

const x3::rule<struct SetRule, Command> Set{
    "limits TENANT/SERVICE or weight TENANT/SERVICE/TARGET"};
const auto Set_def = SetLimitsRule | SetWeightRule;

const x3::rule<struct TargetObjectRule, TargetName> TargetObject{"target TENANT/SERVICE/TARGET"};
const auto TargetObject_def = keyword("target") > Target;

const x3::rule<struct AddRule, Command> Add{"target TENANT/SERVICE/TARGET"};
const auto Add_def = (TargetObject > CompleteTargetSettings)[([](auto &context) {
    AddTarget command = fusion::at_c<1>(x3::_attr(context));
    command.target = fusion::at_c<0>(x3::_attr(context));
    x3::_val(context) = command;
})];

const x3::rule<struct MoveRule, Command> Move{"target TENANT/SERVICE/TARGET"};
const auto Move_def = (TargetObject > keyword("to") > Service)[MakeOfTwo<MoveTarget>];

const x3::rule<struct EpochRule, KeyEpoch> Epoch{"a whole number above 0"};
const auto Epoch_def = PositiveNumber[Make<KeyEpoch>];

const x3::rule<struct RotateRule, Command> Rotate{"keys to NUMBER"};
const auto Rotate_def = (keyword("keys") > keyword("to") > Epoch)[Make<RotateKeys>];

const x3::rule<struct DomainObjectRule, std::string> DomainObject{"domain NAME"};
const auto DomainObject_def = keyword("domain") > Name;

const x3::rule<struct OneCommandRule, Command> OneCommand{"a command"};
const auto OneCommand_def = (keyword("declare") > Declare)[Assign] | (keyword("set") > Set)[Assign]
                            | (keyword("add") > Add)[Assign] | (keyword("move") > Move)[Assign]
                            | (keyword("rotate") > Rotate)[Assign]
                            | (keyword("drain") > TargetObject)[Make<DrainTarget>]
                            | (keyword("undrain") > TargetObject)[Make<UndrainTarget>]
                            | (keyword("retire") > TargetObject)[Make<RetireTarget>]
                            | (keyword("cut") > TargetObject)[Make<CutTarget>]
                            | (keyword("evacuate") > DomainObject)[Make<EvacuateDomain>]
                            | (keyword("restore") > DomainObject)[Make<RestoreDomain>];

const x3::rule<struct CommandsRule, std::vector<Command>> Commands{"a command"};
const auto Commands_def = OneCommand % ';';

// Queries.

/// \brief Symbol table that maps words to values.
template <typename Value>
struct Words : x3::symbols<Value>
{
    Words(std::initializer_list<std::pair<const char *, Value>> words)
    {
        for (const auto &[word, value] : words)
            this->add(word, value);
    }
};
const Words<std::string> Columns{
    {"tenant", "tenant"}, {"service", "service"},   {"target", "target"},
    {"domain", "domain"}, {"state", "state"},       {"daemon", "daemon"},
    {"author", "author"}, {"revision", "revision"}, {"change", "change"}};
const Words<Table> Tables{{"services", Table::Services}, {"targets", Table::Targets},
                          {"daemons", Table::Daemons},   {"changes", Table::Changes},
                          {"drains", Table::Drains},     {"distribution", Table::Distribution},
                          {"domains", Table::Domains},   {"load", Table::Load}};
const Words<bool> Relations{{"=", false}, {"!=", true}};

const x3::rule<struct ColumnRule, std::string> Column{"a column"};
const auto Column_def = x3::lexeme[Columns >> !WordLetter];

const x3::rule<struct OneFilterRule, Filter> OneFilter{"COLUMN = VALUE or COLUMN != VALUE"};
const auto OneFilter_def = Column > Relations > Text;

const x3::rule<struct FilterListRule, std::vector<Filter>> FilterList{
    "COLUMN = VALUE or COLUMN != VALUE"};
const auto FilterList_def = OneFilter % keyword("and");

const x3::rule<struct FiltersRule, std::vector<Filter>> Filters{"where COLUMN = VALUE [and ...]"};
const auto Filters_def = (keyword("where") > FilterList) | x3::eps;

const x3::rule<struct TableWordRule, Table> TableWord{"a table"};
const auto TableWord_def = x3::lexeme[Tables >> !WordLetter];

const x3::rule<struct ShowObjectRule, Statement> ShowObject{
    "services, targets, daemons, domains, load, changes, drains, distribution, revision, change ID "
    "or metrics"};
const auto ShowObject_def
    = (TableWord > Filters)[MakeOfTwo<Show>] | keyword("revision")[MakeEmpty<ShowRevision>]
      | keyword("metrics")[MakeEmpty<ShowMetrics>] | (keyword("change") > Text)[Make<ShowChange>];

const x3::rule<struct RevisionNumberRule, Revision> RevisionNumber{"a revision number"};
const auto RevisionNumber_def = x3::uint64[Make<Revision>];

const x3::rule<struct WaitSubjectRule, std::variant<Revision, std::string>> WaitSubject{
    "revision NUMBER or change ID"};
const auto WaitSubject_def
    = (keyword("revision") > RevisionNumber)[Assign] | (keyword("change") > Text)[Assign];

const x3::rule<struct WaitTimeoutRule, Duration> WaitTimeout{"timeout SECONDS"};
const auto WaitTimeout_def = (keyword("timeout") > Seconds)[Assign]
                             | x3::eps[([](auto &context) { x3::_val(context) = DefaultWait; })];

const x3::rule<struct WaitObjectRule, Statement> WaitObject{"for revision NUMBER or for change ID"};
const auto WaitObject_def = (keyword("for") > WaitSubject > WaitTimeout)[MakeOfTwo<Wait>];

const x3::rule<struct HexadecimalRule, std::string> Hexadecimal{"hexadecimal digits"};
const auto Hexadecimal_def = x3::lexeme[+x3::xdigit >> !WordLetter];
const x3::rule<struct FlowNumberRule, FlowId> FlowNumber{"a flow id"};
const auto FlowNumber_def = x3::lexeme[x3::uint64 >> !WordLetter][Make<FlowId>];
const x3::uint_parser<std::uint64_t, 16, 16, 16> HalfRequestId;
const x3::rule<struct RequestNumberRule, RequestId> RequestNumber{
    "a request id of 32 hexadecimal digits"};
const auto RequestNumber_def
    = x3::lexeme[HalfRequestId >> HalfRequestId >> !WordLetter][MakeOfTwo<RequestId>];
const x3::rule<struct ExplainObjectRule, Statement> ExplainObject{
    "flow ID TOKEN or request ID TOKEN"};
const auto ExplainObject_def
    = (keyword("flow") > FlowNumber > Hexadecimal)[MakeOfTwo<ExplainFlow>]
      | (keyword("request") > RequestNumber > Hexadecimal)[MakeOfTwo<ExplainRequest>];

const x3::rule<struct OneStatementRule, Statement> OneStatement{
    "show, wait, explain, help or a command: declare, add, drain, undrain, retire, cut, move, "
    "evacuate, restore, set or rotate"};
const auto OneStatement_def = (keyword("show") > ShowObject)[Assign]
                              | (keyword("wait") > WaitObject)[Assign]
                              | (keyword("explain") > ExplainObject)[Assign]
                              | keyword("help")[MakeEmpty<Help>] | Commands[Make<Change>];

const x3::rule<struct RootRule, Statement> Root{"a statement"};
const auto Root_def = x3::eps > OneStatement;

BOOST_SPIRIT_DEFINE(Name, Text, Service, Target, Number, PositiveNumber, AddressText, Address,
                    KeyHash, Seconds, LimitSettingList, Limits, TargetSettingList,
                    CompleteTargetSettings, DeclareWorkspaceRule, DeclareServiceRule, Declare,
                    SetLimitsRule, SetWeightRule, Set, TargetObject, Add, Move, Epoch, Rotate,
                    DomainObject, OneCommand, Commands, Column, OneFilter, FilterList, Filters,
                    TableWord, ShowObject, RevisionNumber, WaitSubject, WaitTimeout, WaitObject,
                    Hexadecimal, FlowNumber, RequestNumber, ExplainObject, OneStatement, Root)
// NOLINTEND(readability-identifier-naming)

[[nodiscard]] SyntaxError errorAt(std::string_view text, Iterator where, std::string expected)
{
    while (where != text.end() && (*where == ' ' || *where == '\t'))
        ++where;
    const auto offset = static_cast<std::size_t>(where - text.begin());
    const auto end = text.find_first_of(" \t;", offset);
    const auto length = end == std::string_view::npos ? text.size() - offset : end - offset;
    return SyntaxError{offset + 1, std::move(expected), std::string(text.substr(offset, length))};
}

} // namespace

std::variant<Statement, SyntaxError> parse(std::string_view text)
{
    Iterator position = text.begin();
    Statement statement;
    try {
        const bool whole = x3::phrase_parse(position, text.end(), Root, x3::blank, statement);
        if (whole && position == text.end())
            return statement;
        return errorAt(text, position, "the end of the statement");
    } catch (const x3::expectation_failure<Iterator> &failure) {
        return errorAt(text, failure.where(), failure.which());
    }
}

std::string toString(const SyntaxError &error)
{
    const std::string found = error.found.empty() ? "the end" : '\'' + error.found + '\'';
    return "column " + std::to_string(error.column) + ": expected " + error.expected + ", found "
           + found;
}

std::string_view helpText() noexcept
{
    return R"(Queries:
  show services [where COLUMN = VALUE and COLUMN != VALUE ...]
  show targets | daemons | changes | drains [where ...]
  show domains             failure domains: which get no new work, and what is still open there
  show distribution        where the daemon has its routes and targets from, and how old they are
  show load                load of services by failure domain, and how new flows are placed by it
  show revision            which revision is in force on which daemon
  show change ID           whether a change was accepted, and where it is in force
  show metrics
  wait for revision NUMBER [timeout 30s]
  wait for change ID [timeout 30s]
  explain flow ID TOKEN    where a flow's datagrams go, and why
  explain request ID TOKEN which daemon owns a request
Commands; several joined by ';' come into force together or not at all:
  declare tenant NAME key-hash HEX
  declare service TENANT/SERVICE [queue N] [share N] [retries PERCENT]
  add target TENANT/SERVICE/TARGET domain NAME flows IP:PORT requests IP:PORT [slots N] [weight N]
  drain | undrain | retire | cut target TENANT/SERVICE/TARGET
  move target TENANT/SERVICE/TARGET to TENANT/SERVICE
  evacuate | restore domain NAME
  set limits TENANT/SERVICE [queue N] [share N] [retries PERCENT]
  set weight TENANT/SERVICE/TARGET N
  rotate keys to EPOCH
Examples:
  show targets where service = alexandria/lending and state != active
  drain target alexandria/lending/t1; drain target alexandria/lending/t2
  wait for change drain-2026-12-02 timeout 10s)";
}

} // namespace baobabtrail::language
