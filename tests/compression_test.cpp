/// \file
/// Tests of compression: round trips, corrupt input and oversized texts.
#include "hyssopledge/transport/compression.h"

#include <doctest/doctest.h>
#include <string>

using namespace hyssopledge;
using transport::compressText;
using transport::decompressText;

TEST_CASE("texts survive a compression round trip") {
  for (const std::size_t Size : {0, 1, 1000, 200'000}) {
    std::string Text;
    while (Text.size() < Size)
      Text += "{\"name\":\"r-" + std::to_string(Text.size()) + "\"},";
    const std::string Compressed = compressText(Text);
    CHECK(decompressText(Compressed).value() == Text);
    if (Size >= 1000)
      CHECK(Compressed.size() * 2 < Text.size());
  }
}

TEST_CASE("corrupt and oversized texts are rejected") {
  const std::string Compressed = compressText(std::string(5000, 'a') + "b");
  for (const std::string &Damaged :
       {std::string(), std::string("hello"),
        Compressed.substr(0, Compressed.size() / 2), Compressed.substr(1)})
    CHECK(decompressText(Damaged).has_error());
  const auto Large =
      decompressText(compressText(std::string(8 * 1024 * 1024, 'a')));
  REQUIRE(Large.has_error());
  CHECK(Large.error().is(state::errc::TooLarge));
}
