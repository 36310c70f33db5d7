package keys

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	oldKey = strings.Repeat("o", minLength)
	newKey = strings.Repeat("n", minLength)
)

func writeKeyFile(t *testing.T, path string, keys ...string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte("# keys\n"+strings.Join(keys, "\n")+"\n"), 0o600))
}

func getStatus(t *testing.T, server *httptest.Server, transport http.RoundTripper) int {
	t.Helper()
	resp, err := (&http.Client{Transport: transport}).Get(server.URL)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against rejected requests in the middle of a key rotation: at each step, a
// holder of the older file must be accepted.
func TestRotationRejectsNoRequest(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "here")
	other := filepath.Join(folder, "there")
	writeKeyFile(t, path, oldKey)
	writeKeyFile(t, other, oldKey)
	here, err := Read(path)
	assert.NilError(t, err)
	there, err := Read(other)
	assert.NilError(t, err)
	server := httptest.NewServer(Require(here, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer server.Close()
	transport := &Transport{Ring: there, Base: http.DefaultTransport}
	for _, step := range []struct {
		file string
		ring *Ring
		keys []string
	}{
		{path, here, []string{oldKey, newKey}},
		{other, there, []string{oldKey, newKey}},
		{path, here, []string{newKey, oldKey}},
		{other, there, []string{newKey, oldKey}},
		{path, here, []string{newKey}},
		{other, there, []string{newKey}},
	} {
		writeKeyFile(t, step.file, step.keys...)
		changed, err := step.ring.Reload()
		assert.NilError(t, err)
		assert.Assert(t, changed)
		assert.Equal(t, getStatus(t, server, transport), http.StatusOK, "after %v", step)
	}
	assert.Assert(t, !here.Accepts(oldKey))
}

func TestRequestsWithoutKeyAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	writeKeyFile(t, path, oldKey)
	ring, err := Read(path)
	assert.NilError(t, err)
	server := httptest.NewServer(Require(ring, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer server.Close()
	assert.Equal(t, getStatus(t, server, http.DefaultTransport), http.StatusUnauthorized)
	wrong := &Ring{primary: newKey}
	assert.Equal(t, getStatus(t, server, &Transport{Ring: wrong, Base: http.DefaultTransport}), http.StatusUnauthorized)
}

// Guards against a lockout when the file is read between an editor's truncation and its
// write: the keys in use must stay.
func TestInvalidFileKeepsKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	writeKeyFile(t, path, oldKey)
	ring, err := Read(path)
	assert.NilError(t, err)
	for _, content := range [][]string{{}, {"short"}, strings.Split(strings.Repeat(newKey+" ", maxKeys+1), " ")[:maxKeys+1]} {
		writeKeyFile(t, path, content...)
		_, err = ring.Reload()
		var bad *FileError
		assert.Assert(t, errors.As(err, &bad), "got %v for %v", err, content)
		assert.Assert(t, ring.Accepts(oldKey))
	}
}
