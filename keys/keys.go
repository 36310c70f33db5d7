// Package keys implements shared-secret authentication between instances and of
// operators: bearer tokens on HTTP requests and HMACs on datagrams. A key file has one
// key per line; the first key is sent and all of them are accepted. To rotate a key, add
// the new one after the old one on every instance, then swap them, then remove the old
// one. Key files are reloaded while the process runs.
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
	// minLength is the minimum length of a key in characters; keys are random, not
	// passwords.
	minLength = 32
	// maxKeys bounds the cost of rejecting a wrong key.
	maxKeys      = 8
	bearerPrefix = "Bearer "
)

// FileError reports a key file without usable content.
type FileError struct {
	Path   string
	Reason string
}

// Error names the file and the fault; it contains no key.
func (e *FileError) Error() string { return fmt.Sprintf("key file %s: %s", e.Path, e.Reason) }

// Ring is the key ring of one key file. It is safe for concurrent use.
type Ring struct {
	path string

	mu      sync.RWMutex
	content []byte
	primary string
	digests [][sha256.Size]byte
}

// Read returns the ring of a key file.
func Read(path string) (*Ring, error) {
	r := &Ring{path: path}
	_, err := r.Reload()
	return r, err
}

// NewRing returns a ring of one key that does not come from a file.
func NewRing(key string) *Ring {
	return &Ring{primary: key, digests: [][sha256.Size]byte{sha256.Sum256([]byte(key))}}
}

// Reload reads the file again and reports whether it changed. After a failure the
// previous keys stay in use: a half-written file must not lock everyone out.
func (r *Ring) Reload() (bool, error) {
	raw, err := os.ReadFile(r.path)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	r.mu.RLock()
	same := r.content != nil && bytes.Equal(raw, r.content)
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
	r.content = raw
	r.primary = keys[0]
	r.digests = nil
	for _, key := range keys {
		r.digests = append(r.digests, sha256.Sum256([]byte(key)))
	}
	return true, nil
}

// parse returns the keys of a file, one per line; it skips empty lines and comments,
// which start with #.
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

// Accepts reports whether key is in the ring. It compares in constant time over all
// keys, so a caller cannot learn a key from response times.
func (r *Ring) Accepts(key string) bool {
	sum := sha256.Sum256([]byte(key))
	r.mu.RLock()
	defer r.mu.RUnlock()
	match := 0
	for i := range r.digests {
		match |= subtle.ConstantTimeCompare(sum[:], r.digests[i][:])
	}
	return match == 1
}

// Key returns the key to send, the first one of the ring.
func (r *Ring) Key() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.primary
}

// Require returns middleware that rejects requests without a key of the ring as bearer
// token.
func Require(r *Ring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		key, found := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
		if !found || !r.Accepts(key) {
			http.Error(w, "the key is missing or not accepted", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// Transport is an http.RoundTripper that adds the ring's key to every request as a bearer
// token.
type Transport struct {
	Ring *Ring
	Base http.RoundTripper
}

// RoundTrip sends a copy of the request with the key added.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("Authorization", bearerPrefix+t.Ring.Key())
	return t.Base.RoundTrip(req)
}
