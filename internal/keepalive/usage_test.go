package keepalive

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// testTools are packages whose processes need no detection of dead peers.
var testTools = []string{"soak", "demo", "standin", "scenario", "platform/platformtest", "internal/loopback", "internal/partition", "internal/keepalive"}

var plainTCP = regexp.MustCompile(`net\.(Listen|Dial|DialTimeout)\(|net\.(Dialer|ListenConfig)\{|http\.(Get|Post|ListenAndServe)\(|http\.Default(Client|Transport)[^.]`)

// Guards against a client or a listener with the defaults of a library, which detect a dead peer
// after minutes or not at all.
func TestConnectionsAreOpenedWithTheirOptions(t *testing.T) {
	root := filepath.Join("..", "..")
	assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			for _, tool := range testTools {
				if filepath.ToSlash(name) == tool {
					return fs.SkipDir
				}
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		found := plainTCP.FindString(string(text))
		assert.Check(t, found == "", "%s: %s", name, found)
		return nil
	}))
}
