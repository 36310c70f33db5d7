// Package keys holds the shared keys that instances and operators prove
// themselves with. A key file has one key a line; the first is sent, all are
// accepted, so that a key is rotated by adding the new one behind the old on
// every instance, then swapping them, then removing the old one. Files are read
// again while the process runs.
package keys

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// minLength is the fewest characters a key has; keys are random, not
	// passwords.
	minLength = 32
	// maxKeys bounds the work of checking a wrong key.
	maxKeys = 8
	scheme  = "Bearer "
)

// FileError means that a key file has no usable content.
type FileError struct {
	Path   string
	Reason string
}

// Error names the file and what is wrong; it holds no key.
func (e *FileError) Error() string { return fmt.Sprintf("key file %s: %s", e.Path, e.Reason) }

// Ring is the keys of one file. It is safe for concurrent use.
type Ring struct {
	path string

	mu   sync.RWMutex
	raw  []byte
	send string
	sums [][sha256.Size]byte
}

// Read reads a key file.
func Read(path string) (*Ring, error) {
	r := &Ring{path: path}
	_, err := r.Reload()
	return r, err
}

// NewRing returns a ring of one key that does not come from a file.
func NewRing(key string) *Ring {
	return &Ring{send: key, sums: [][sha256.Size]byte{sha256.Sum256([]byte(key))}}
}

// Reload reads the file again and says whether it changed. After a failure the
// keys stay as they were: a half-written file must not lock everyone out.
func (r *Ring) Reload() (bool, error) {
	raw, err := os.ReadFile(r.path)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	r.mu.RLock()
	same := r.raw != nil && bytes.Equal(raw, r.raw)
	r.mu.RUnlock()
	if same {
		return false, nil
	}
	keys, err := parse(r.path, raw)
	if err != nil {
		return false, trace.Wrap(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raw = raw
	r.send = keys[0]
	r.sums = nil
	for _, key := range keys {
		r.sums = append(r.sums, sha256.Sum256([]byte(key)))
	}
	return true, nil
}

// parse reads one key a line; empty lines and lines that start with # are
// passed over.
func parse(path string, raw []byte) ([]string, error) {
	var keys []string
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < minLength {
			return nil, &FileError{Path: path, Reason: fmt.Sprintf("a key has fewer than %d characters", minLength)}
		}
		keys = append(keys, line)
	}
	switch {
	case lines.Err() != nil:
		return nil, trace.Wrap(lines.Err())
	case len(keys) == 0:
		return nil, &FileError{Path: path, Reason: "there is no key"}
	case len(keys) > maxKeys:
		return nil, &FileError{Path: path, Reason: fmt.Sprintf("there are more than %d keys", maxKeys)}
	}
	return keys, nil
}

// Accepts says whether key is one of the ring's. Its time depends neither on
// the key nor on which one matches, so a caller learns nothing by trying.
func (r *Ring) Accepts(key string) bool {
	sum := sha256.Sum256([]byte(key))
	r.mu.RLock()
	defer r.mu.RUnlock()
	match := 0
	for i := range r.sums {
		match |= subtle.ConstantTimeCompare(sum[:], r.sums[i][:])
	}
	return match == 1
}

// Key returns the key to send.
func (r *Ring) Key() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.send
}

// Require serves only requests that carry one of the ring's keys as a bearer
// token.
func Require(r *Ring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		key, found := strings.CutPrefix(req.Header.Get("Authorization"), scheme)
		if !found || !r.Accepts(key) {
			http.Error(w, "the key is missing or not accepted", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// Transport sends the ring's key with every request.
type Transport struct {
	Ring *Ring
	Base http.RoundTripper
}

// RoundTrip adds the key to a copy of the request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("Authorization", scheme+t.Ring.Key())
	return t.Base.RoundTrip(req)
}
