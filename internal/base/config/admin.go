package config

import "encoding/hex"

const sha256Bytes = 32

// Admin holds the settings that protect the administration API.
type Admin struct {
	// BootstrapHash is the SHA-256 hash, in hexadecimal, of the secret of the
	// bootstrap token, which may publish the first teams and tokens. If it is
	// empty, there is no bootstrap token.
	BootstrapHash string `toml:"bootstrap_hash"`
}

func (a *Admin) validate(c *checker) {
	b, err := hex.DecodeString(a.BootstrapHash)
	ok := a.BootstrapHash == "" || err == nil && len(b) == sha256Bytes
	// An operator may have entered the secret itself, so the value is kept out
	// of the error.
	c.require(ok, "admin.bootstrap_hash", "(hidden)", "64 hexadecimal digits or empty")
}
