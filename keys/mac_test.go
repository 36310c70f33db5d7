package keys

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func ringFromContent(t *testing.T, content string) *Ring {
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	ring, err := Read(path)
	assert.NilError(t, err)
	return ring
}

// Guards against datagrams that are rejected during a key rotation, when some instances
// send the new key and others the old one, and against datagrams that are accepted with
// an unknown key or a modified payload.
func TestSignedDatagrams(t *testing.T) {
	const older, newer = "older-older-older-older-older-older", "newer-newer-newer-newer-newer-newer"
	both, only := ringFromContent(t, older+"\n"+newer+"\n"), ringFromContent(t, newer+"\n")
	payload, ok := both.Verify(only.Sign([]byte("row")))
	assert.Assert(t, ok)
	assert.Equal(t, string(payload), "row")
	_, ok = only.Verify(both.Sign([]byte("row")))
	assert.Assert(t, !ok)
	changed := only.Sign([]byte("row"))
	changed[len(changed)-1]++
	_, ok = only.Verify(changed)
	assert.Assert(t, !ok)
	_, ok = only.Verify([]byte("short"))
	assert.Assert(t, !ok)
}
