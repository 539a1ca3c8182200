#include "platform/packet_form.h"

#include "core/random.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::platform;

namespace {

using namespace std::string_literals;

// The example in the platform's documentation: a SYN from 100.64.0.7:40001 to 198.18.0.1:443.
const std::string Opening
    = "\x11\x22\x33\x44\x00\x00\x00\x00\xa1\xb2\xc3\xd5\x00\x00\x00\x00\x64\x40\x00\x07"
      "\xc6\x12\x00\x01\x01\xbb\x9c\x41\x80\x00\x00\x00"s;
const std::string Reset
    = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\xc6\x12\x00\x01"
      "\x64\x40\x00\x07\x9c\x41\x01\xbb\x20\x00\x00\x00"s;

} // namespace

Test(packets, examplePacketIsRead)
{
    const ReadPacket packet = readPacket(Opening);
    cr_assert(packet.error == PacketError::None);
    cr_assert_eq(toString(packet.segment.flow.caller), "100.64.0.7:40001");
    cr_assert_eq(toString(packet.segment.flow.service), "198.18.0.1:443");
    cr_assert_eq(packet.segment.sequence, 0x11223344);
    cr_assert(packet.segment.opens && !packet.segment.finishes && !packet.segment.aborts);
}

Test(packets, exampleResetIsMade)
{
    cr_assert(abortPacket(readPacket(Opening).segment.flow, 0) == Reset);
}

Test(packets, packetForTargetGetsTargetIdAndLabel)
{
    const std::string bytes = Opening + "";
    const std::string sent = toTarget(bytes, TargetId{0x7f3a91c2}, FlowLabel{0xDEADBEEF});
    cr_assert_eq(sent.size(), bytes.size() + 8);
    cr_assert(sent.substr(0, 8) == "\x00\x00\x00\x00\x7f\x3a\x91\xc2"s);
    std::string expected = bytes;
    expected.replace(12, 4, "\xde\xad\xbe\xef");
    cr_assert(sent.substr(8) == expected);
    cr_assert(readPacket(sent.substr(8)).segment.label == FlowLabel{0xDEADBEEF});
}

Test(packets, invalidPacketsAreRejected)
{
    cr_assert(readPacket("").error == PacketError::TooShort);
    cr_assert(readPacket(Opening.substr(0, 31)).error == PacketError::TooShort);
    cr_assert(readPacket(Opening + "x").error == PacketError::WrongLength);
    std::string answer = Opening;
    answer[28] = static_cast<char>(0x88); // SYN and ACK: only targets send both.
    cr_assert(readPacket(answer).error == PacketError::ForgedSource);
}

Test(packets, mutatedPacketsDoNoHarm)
{
    Random random{7};
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = Opening + std::string(random() % 64, 'x');
        for (int change = 0; change < 4; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        (void)readPacket(bytes);
    }
}
