#include "store/digest.h"

#include "base/error.h"

#include <iomanip>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sstream>

namespace mimosadale::store {

namespace {

const unsigned char *asBytes(const std::string &Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

unsigned char *asBytes(std::string &Text) {
  return reinterpret_cast<unsigned char *>(Text.data());
}

} // namespace

std::string sha256Hex(const std::string &Bytes) {
  std::string Digest(EVP_MAX_MD_SIZE, '\0');
  unsigned Size = 0;
  if (EVP_Digest(Bytes.data(), Bytes.size(), asBytes(Digest), &Size,
                 EVP_sha256(), nullptr) != 1)
    throw Error("SHA-256 is not available");
  std::ostringstream Out;
  for (unsigned I = 0; I < Size; ++I)
    Out << std::hex << std::setw(2) << std::setfill('0')
        << static_cast<unsigned>(asBytes(Digest)[I]);
  return Out.str();
}

std::string encodeBase64(const std::string &Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Size = EVP_EncodeBlock(asBytes(Text), asBytes(Bytes),
                                   static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes(3 * (Text.size() / 4) + 3, '\0');
  const int Size = EVP_DecodeBlock(asBytes(Bytes), asBytes(Text),
                                   static_cast<int>(Text.size()));
  if (Size < 0 || Text.size() % 4 != 0)
    throw Error("invalid base64");
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

std::string hmacSha256(const std::string &Key, const std::string &Bytes) {
  std::string Digest(EVP_MAX_MD_SIZE, '\0');
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), asBytes(Bytes),
       Bytes.size(), asBytes(Digest), &Size);
  Digest.resize(Size);
  return Digest;
}

bool equalConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace mimosadale::store
