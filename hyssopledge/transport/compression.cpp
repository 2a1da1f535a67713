#include "hyssopledge/transport/compression.h"

#include <zlib.h>

namespace hyssopledge::transport {

namespace {

constexpr std::size_t ChunkBytes = 16 * 1024;

Bytef *zlibInput(std::string_view Text) {
  // zlib does not modify its input, but its interface takes it as non-const.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Text.data()));
}

} // namespace

std::string compressText(std::string_view Text) {
  uLongf Size = compressBound(Text.size());
  std::string Out(Size, '\0');
  if (compress2(reinterpret_cast<Bytef *>(Out.data()), &Size, zlibInput(Text),
                Text.size(), Z_BEST_SPEED) != Z_OK)
    return {};
  Out.resize(Size);
  Out.shrink_to_fit();
  return Out;
}

state::result<std::string> decompressText(std::string_view Compressed) {
  z_stream Stream{};
  Stream.next_in = zlibInput(Compressed);
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  if (inflateInit(&Stream) != Z_OK)
    return state::failure(state::errc::TooLarge,
                          "not enough memory to decompress a text");
  std::string Out;
  int Status = Z_OK;
  while (Status == Z_OK && Out.size() <= MaxDecompressedBytes) {
    const std::size_t SizeBefore = Out.size();
    Out.resize(SizeBefore + ChunkBytes);
    Stream.next_out = reinterpret_cast<Bytef *>(Out.data() + SizeBefore);
    Stream.avail_out = ChunkBytes;
    Status = inflate(&Stream, Z_NO_FLUSH);
    Out.resize(SizeBefore + ChunkBytes - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (Out.size() > MaxDecompressedBytes)
    return state::failure(state::errc::TooLarge,
                          "the decompressed text exceeds the limit");
  if (Status != Z_STREAM_END)
    return state::failure(state::errc::InvalidMessage,
                          "the compressed text is corrupt");
  return Out;
}

} // namespace hyssopledge::transport
