package suspect

import (
	"crypto/sha256"
	"encoding/hex"
)

// Fingerprints identify what a request asks for. They are the same for each try of a caller.
type Fingerprints struct {
	// Content is equal for all requests with the same content.
	Content string
	// Caller is equal for requests of one caller with the same content, empty if the caller is not known.
	Caller string
}

// FingerprintsOf returns the fingerprints of a request of the caller, empty if it is not known. The fields and the body are its
// content.
func FingerprintsOf(caller string, body []byte, fields ...string) Fingerprints {
	f := Fingerprints{Content: Fingerprint(body, fields...)}
	if caller != "" {
		f.Caller = Fingerprint(nil, f.Content, caller)
	}
	return f
}

// each returns the fingerprints, the narrowest first.
func (f Fingerprints) each() []string {
	if f.Caller == "" {
		return []string{f.Content}
	}
	return []string{f.Caller, f.Content}
}

// Narrowest returns the fingerprint that the fewest other requests share.
func (f Fingerprints) Narrowest() string { return f.each()[0] }

// Fingerprint returns a hash that is equal for requests with the same fields and the same body, which make an upstream do
// the same work.
func Fingerprint(body []byte, fields ...string) string {
	hash := sha256.New()
	for _, field := range fields {
		hash.Write([]byte(field + "\x00"))
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
