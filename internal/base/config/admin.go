package config

import "encoding/hex"

const sha256Bytes = 32

// Admin protects the administration API.
type Admin struct {
	// BootstrapHash is the SHA-256 sum of the secret of the token that
	// publishes the first teams and tokens. Empty means no such token.
	BootstrapHash string `toml:"bootstrap_hash"`
}

func (a *Admin) check(c *checker) {
	b, err := hex.DecodeString(a.BootstrapHash)
	ok := a.BootstrapHash == "" || err == nil && len(b) == sha256Bytes
	// The value may be the secret itself, so it is not repeated.
	c.want(ok, "admin.bootstrap_hash", "(hidden)", "64 hexadecimal digits or empty")
}
