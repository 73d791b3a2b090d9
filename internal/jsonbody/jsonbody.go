// Package jsonbody decodes JSON request bodies strictly: it limits size, read time and nesting depth, and rejects
// invalid UTF-8, duplicate keys and unknown keys.
package jsonbody

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/maphash"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// maxDepth limits how deep the objects and arrays of a request body may be nested.
const maxDepth = 64

// Decode reads the JSON body of a request, of at most limit bytes and within the timeout, and decodes it into target.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, target any) error {
	if err := checkContentType(r.Header.Get("Content-Type")); err != nil {
		return err
	}
	data, err := readBody(w, r, limit, timeout)
	if err != nil {
		return err
	}
	return unmarshal(data, target, func(bytes int64) error { return callermem.Reserve(r, bytes) })
}

// checkContentType accepts application/json in UTF-8, and an absent header, because simple clients send none.
func checkContentType(value string) error {
	if value == "" {
		return nil
	}
	mediaType, parameters, err := mime.ParseMediaType(value)
	if err != nil || mediaType != "application/json" {
		return fault.New(fault.UnsupportedMedia, "decode", "content type is %q, expected application/json", value)
	}
	if charset, ok := parameters["charset"]; ok && !strings.EqualFold(charset, "utf-8") {
		return fault.New(fault.UnsupportedMedia, "decode", "charset is %q, expected utf-8", charset)
	}
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	// Clear the deadline once the body is read: it would cancel the context of a request that runs longer.
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	return callermem.ReadBody(w, r, limit)
}

// Unmarshal decodes a single JSON value and rejects invalid UTF-8, unknown keys and duplicate keys. With a duplicate
// key, wisteriamux and an upstream could read different values from the same body.
func Unmarshal(data []byte, target any) error { return unmarshal(data, target, nil) }

// unmarshal is Unmarshal with a function that charges the memory for it, nil for none.
func unmarshal(data []byte, target any, charge func(bytes int64) error) error {
	if !utf8.Valid(data) {
		return fault.New(fault.BadRequest, "decode", "request body is not valid UTF-8")
	}
	c := checker{charge: charge}
	if err := c.add(bufferFactor * int64(len(data))); err != nil {
		return err
	}
	if err := c.checkKeys(data); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fault.New(fault.BadRequest, "decode", "decode request body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.BadRequest, "decode", "request body has trailing data after the JSON value")
	}
	return nil
}

const (
	// bufferFactor is the size of the decoder's buffers for each byte of the document.
	bufferFactor = 2
	// keyBytes is charged for each key that is kept to find duplicates: the hash in a map that is half full.
	keyBytes = 32
	// elementBytes is charged for each string in an array at the top level, which are decoded into a slice that grows.
	elementBytes = 32
	// chargeStep is how many bytes are charged at a time.
	chargeStep = 64 << 10
)

// keySeed makes collisions of hashes unpredictable.
var keySeed = maphash.MakeSeed()

// checker checks the tokens of a document and charges what is kept of them.
type checker struct {
	charge  func(bytes int64) error
	pending int64
}

// add charges bytes, in steps.
func (c *checker) add(bytes int64) error {
	c.pending += bytes
	if c.charge == nil || c.pending < chargeStep {
		return nil
	}
	bytes, c.pending = c.pending, 0
	return c.charge(bytes)
}

// scope is an object or array that the decoder has entered and not left yet. keys is nil for an array.
type scope struct {
	// keys holds hashes, because a body may have more than 100,000 keys.
	keys map[uint64]struct{}
	// expectValue is set if the next token of an object is a value rather than a key.
	expectValue bool
}

// checkKeys rejects duplicate keys and excessive nesting, and at the top level keys that cannot be field names.
func (c *checker) checkKeys(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var scopes []*scope
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.New(fault.BadRequest, "decode", "parse request body: %w", err)
		}
		if scopes, err = advance(scopes, token); err != nil {
			return err
		}
		if err := c.add(keptBytes(scopes, token)); err != nil {
			return err
		}
	}
}

// keptBytes returns how many bytes are kept of a token that has been applied to the scopes.
func keptBytes(scopes []*scope, token json.Token) int64 {
	if _, ok := token.(string); !ok || len(scopes) == 0 {
		return 0
	}
	switch in := scopes[len(scopes)-1]; {
	case in.keys == nil && len(scopes) == 2:
		return elementBytes
	case in.keys != nil && in.expectValue:
		return keyBytes
	}
	return 0
}

// advance applies one token to the stack of open scopes and returns the new stack.
func advance(scopes []*scope, token json.Token) ([]*scope, error) {
	delim, isDelim := token.(json.Delim)
	if isDelim && (delim == '}' || delim == ']') {
		return scopes[:len(scopes)-1], nil
	}
	if len(scopes) > 0 {
		if err := scopes[len(scopes)-1].checkToken(token, len(scopes) == 1); err != nil {
			return scopes, err
		}
	}
	if !isDelim {
		return scopes, nil
	}
	if len(scopes) >= maxDepth {
		return scopes, fault.New(fault.BadRequest, "decode", "request body is nested deeper than %d levels", maxDepth)
	}
	opened := &scope{}
	if delim == '{' {
		opened.keys = map[uint64]struct{}{}
	}
	return append(scopes, opened), nil
}

// checkToken checks a token that is directly in the scope. top is set for the outermost scope.
func (s *scope) checkToken(token json.Token, top bool) error {
	if s.keys == nil {
		return nil
	}
	if s.expectValue {
		s.expectValue = false
		return nil
	}
	key, _ := token.(string)
	hash := maphash.String(keySeed, key)
	if _, ok := s.keys[hash]; ok {
		return fault.New(fault.BadRequest, "decode", "duplicate key %q", key)
	}
	// encoding/json matches field names case-insensitively, so "Key" would set the same field as "key".
	if top && !isFieldName(key) {
		return fault.New(fault.BadRequest, "decode", "unknown key %q", key)
	}
	s.keys[hash] = struct{}{}
	s.expectValue = true
	return nil
}

// isFieldName reports whether the key has only lower-case ASCII letters and underscores, as all field names have.
func isFieldName(key string) bool {
	for _, letter := range []byte(key) {
		if letter != '_' && (letter < 'a' || letter > 'z') {
			return false
		}
	}
	return true
}
