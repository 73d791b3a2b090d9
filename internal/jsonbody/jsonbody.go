// Package jsonbody reads JSON bodies strictly: bounded in size, time and nesting, of valid UTF-8, and without a key that
// occurs twice or that the receiver does not know.
package jsonbody

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// maxDepth bounds the nesting of a request body.
const maxDepth = 64

// Decode reads a JSON body of at most limit bytes within the timeout.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, into any) error {
	if err := checkContentType(r.Header.Get("Content-Type")); err != nil {
		return err
	}
	data, err := readBody(w, r, limit, timeout)
	if err != nil {
		return err
	}
	return Unmarshal(data, into)
}

// checkContentType accepts a request that names no type, as simple clients do.
func checkContentType(value string) error {
	if value == "" {
		return nil
	}
	kind, parameters, err := mime.ParseMediaType(value)
	if err != nil || kind != "application/json" {
		return fault.New(fault.UnsupportedMedia, "decode", "content type is %q, expected application/json", value)
	}
	if charset, ok := parameters["charset"]; ok && !strings.EqualFold(charset, "utf-8") {
		return fault.New(fault.UnsupportedMedia, "decode", "charset is %q, expected utf-8", charset)
	}
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, "decode", "request body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	// The deadline must not outlive the body: it would cancel the context of a request that runs longer.
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "decode", "request body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, fault.New(fault.RequestTimeout, "decode", "request body was not received within %s", timeout)
	}
	return nil, fault.New(fault.BadRequest, "decode", "request body: %w", err)
}

// Unmarshal accepts one JSON value of valid UTF-8 without unknown or duplicate keys. A duplicate key would let this
// tier and an upstream read different values from the same body.
func Unmarshal(data []byte, into any) error {
	if !utf8.Valid(data) {
		return fault.New(fault.BadRequest, "decode", "request body is not valid UTF-8")
	}
	if err := checkKeys(data); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fault.New(fault.BadRequest, "decode", "request body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.BadRequest, "decode", "request body has data after the JSON value")
	}
	return nil
}

// scope is an open object or array. keys is nil for an array.
type scope struct {
	keys map[string]struct{}
	// value tells that the next string of an object is a value.
	value bool
}

func checkKeys(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var scopes []*scope
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.New(fault.BadRequest, "decode", "request body: %w", err)
		}
		if scopes, err = advance(scopes, token); err != nil {
			return err
		}
	}
}

// advance applies one token to the open scopes.
func advance(scopes []*scope, token json.Token) ([]*scope, error) {
	delim, isDelim := token.(json.Delim)
	if isDelim && (delim == '}' || delim == ']') {
		return scopes[:len(scopes)-1], nil
	}
	if len(scopes) > 0 {
		if err := scopes[len(scopes)-1].take(token, len(scopes) == 1); err != nil {
			return scopes, err
		}
	}
	if !isDelim {
		return scopes, nil
	}
	if len(scopes) >= maxDepth {
		return scopes, fault.New(fault.BadRequest, "decode", "request body is nested deeper than %d", maxDepth)
	}
	opened := &scope{}
	if delim == '{' {
		opened.keys = map[string]struct{}{}
	}
	return append(scopes, opened), nil
}

func (s *scope) take(token json.Token, top bool) error {
	if s.keys == nil {
		return nil
	}
	if s.value {
		s.value = false
		return nil
	}
	key, _ := token.(string)
	if _, ok := s.keys[key]; ok {
		return fault.New(fault.BadRequest, "decode", "key %q occurs twice", key)
	}
	// encoding/json matches the names of fields without regard to case, so that Key would be a second key.
	if top && !isFieldName(key) {
		return fault.New(fault.BadRequest, "decode", "unknown key %q", key)
	}
	s.keys[key] = struct{}{}
	s.value = true
	return nil
}

func isFieldName(key string) bool {
	for _, letter := range []byte(key) {
		if letter != '_' && (letter < 'a' || letter > 'z') {
			return false
		}
	}
	return true
}
