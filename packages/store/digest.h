// Hashes and base64, based on OpenSSL.
#ifndef MIMOSADALE_STORE_DIGEST_H
#define MIMOSADALE_STORE_DIGEST_H

#include <string>

namespace mimosadale::store {

/// SHA-256 of \p Bytes in lower-case hexadecimal. Safe from any thread.
std::string sha256Hex(const std::string &Bytes);

/// Base64 of \p Bytes (RFC 4648, section 4). Safe from any thread.
std::string encodeBase64(const std::string &Bytes);

/// The bytes that \p Text encodes. \throws Error if it is not valid base64.
/// Safe from any thread.
std::string decodeBase64(const std::string &Text);

/// HMAC-SHA-256 of \p Bytes under \p Key (RFC 2104). Safe from any thread.
std::string hmacSha256(const std::string &Key, const std::string &Bytes);

/// Compares in a time that depends only on the lengths, against timing attacks.
/// Safe from any thread.
bool equalConstantTime(const std::string &A, const std::string &B);

} // namespace mimosadale::store

#endif
