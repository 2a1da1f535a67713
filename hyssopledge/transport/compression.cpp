#include "hyssopledge/transport/compression.h"

#include <zlib.h>

namespace hyssopledge::transport {

namespace {

constexpr std::size_t ChunkBytes = 16 * 1024;

Bytef *bytesOf(std::string_view Text) {
  // zlib does not change its input, but takes it as not constant.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Text.data()));
}

} // namespace

std::string compressText(std::string_view Text) {
  uLongf Size = compressBound(Text.size());
  std::string Out(Size, '\0');
  if (compress2(reinterpret_cast<Bytef *>(Out.data()), &Size, bytesOf(Text),
                Text.size(), Z_BEST_SPEED) != Z_OK)
    return {};
  Out.resize(Size);
  Out.shrink_to_fit();
  return Out;
}

state::result<std::string> decompressText(std::string_view Compressed) {
  z_stream Stream{};
  Stream.next_in = bytesOf(Compressed);
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  if (inflateInit(&Stream) != Z_OK)
    return state::failure(state::errc::TooLarge, "no memory to decompress");
  std::string Out;
  int Status = Z_OK;
  while (Status == Z_OK && Out.size() <= MaxDecompressedBytes) {
    const std::size_t Before = Out.size();
    Out.resize(Before + ChunkBytes);
    Stream.next_out = reinterpret_cast<Bytef *>(Out.data() + Before);
    Stream.avail_out = ChunkBytes;
    Status = inflate(&Stream, Z_NO_FLUSH);
    Out.resize(Before + ChunkBytes - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (Out.size() > MaxDecompressedBytes)
    return state::failure(state::errc::TooLarge, "a compressed text");
  if (Status != Z_STREAM_END)
    return state::failure(state::errc::InvalidMessage,
                          "a compressed text is damaged");
  return Out;
}

} // namespace hyssopledge::transport
