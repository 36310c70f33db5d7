// Package docs_test holds the pages against the tree.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	codePattern = regexp.MustCompile("`([a-z]+/[a-z/_]+)`")
)

// pages lists the README and all pages below this folder.
func pages(t *testing.T) []string {
	t.Helper()
	all := []string{"../README.md", "../CHANGELOG.md", "../DEVELOPERS.md"}
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			all = append(all, path)
		}
		return err
	})
	assert.NilError(t, err)
	return all
}

// A page links to one that was renamed or never written, and a reader in the
// middle of a failure finds nothing there.
func TestLinksLeadSomewhere(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, link := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			assert.NilError(t, err, "%s links to %s", page, link[1])
		}
	}
}

// A page names a package that has moved.
func TestNamedFoldersExist(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range codePattern.FindAllStringSubmatch(string(text), -1) {
			top, _, _ := strings.Cut(name[1], "/")
			if _, err := os.Stat(filepath.Join("..", top)); err != nil {
				continue // a media type or the like, not a folder
			}
			_, err := os.Stat(filepath.Join("..", name[1]))
			assert.NilError(t, err, "%s names %s", page, name[1])
		}
	}
}
