/// \file
/// Compressed texts: whole, damaged and too large ones.
#include "hyssopledge/transport/compression.h"

#include <doctest/doctest.h>
#include <string>

using namespace hyssopledge;
using transport::compressText;
using transport::decompressText;

TEST_CASE("texts come back as they were") {
  for (const std::size_t Size : {0, 1, 1000, 200'000}) {
    std::string Text;
    while (Text.size() < Size)
      Text += "{\"name\":\"r-" + std::to_string(Text.size()) + "\"},";
    const std::string Packed = compressText(Text);
    CHECK(decompressText(Packed).value() == Text);
    if (Size >= 1000)
      CHECK(Packed.size() * 2 < Text.size());
  }
}

TEST_CASE("damaged and oversized texts are refused") {
  const std::string Packed = compressText(std::string(5000, 'a') + "b");
  for (const std::string &Damaged :
       {std::string(), std::string("hello"),
        Packed.substr(0, Packed.size() / 2), Packed.substr(1)})
    CHECK(decompressText(Damaged).has_error());
  const auto Large =
      decompressText(compressText(std::string(8 * 1024 * 1024, 'a')));
  REQUIRE(Large.has_error());
  CHECK(Large.error().is(state::errc::TooLarge));
}
