package crash

import "github.com/cespare/xxhash/v2"

// Fingerprint identifies requests that are the same to an upstream: those with the same caller,
// method, host, path, query and body. Zero identifies none.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request with these parts, in a fixed order.
func NewFingerprint(body []byte, parts ...string) Fingerprint {
	return FingerprintOfBlocks([][]byte{body}, parts...)
}

// FingerprintOfBlocks is NewFingerprint of a body in blocks.
func FingerprintOfBlocks(body [][]byte, parts ...string) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		// No part contains this byte.
		_, _ = digest.Write([]byte{0})
	}
	for _, block := range body {
		_, _ = digest.Write(block)
	}
	return max(1, Fingerprint(digest.Sum64()))
}
