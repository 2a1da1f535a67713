/// \file
/// Compressed texts between daemons (zlib, RFC 1950).
#pragma once

#include "hyssopledge/state/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

/// Larger texts are refused when they are read: 4 times the largest value of
/// the platform.
constexpr std::size_t MaxDecompressedBytes = 4 * 1024 * 1024;

/// Empty when there is no memory for it.
std::string compressText(std::string_view Text);
/// InvalidMessage when it is damaged, TooLarge above the limit.
state::result<std::string> decompressText(std::string_view Compressed);

} // namespace hyssopledge::transport
