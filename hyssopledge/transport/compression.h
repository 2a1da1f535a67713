/// \file
/// Compression of texts that daemons exchange (zlib format, RFC 1950).
#pragma once

#include "hyssopledge/state/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

/// Largest text that decompressText returns: 4 times the largest value of the
/// platform.
constexpr std::size_t MaxDecompressedBytes = 4 * 1024 * 1024;

/// Returns the compressed text, empty when memory runs out.
std::string compressText(std::string_view Text);
/// InvalidMessage for corrupt input, TooLarge above MaxDecompressedBytes or
/// when memory runs out.
state::result<std::string> decompressText(std::string_view Compressed);

} // namespace hyssopledge::transport
