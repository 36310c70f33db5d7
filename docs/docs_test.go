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

var testPattern = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")

// A page says that a test shows a promise. The test was renamed or is gone, and
// nobody notices that the promise is no longer shown.
func TestNamedTestsExist(t *testing.T) {
	defined := map[string]bool{}
	definition := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, found := range definition.FindAllStringSubmatch(string(text), -1) {
			defined[found[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, named := range testPattern.FindAllStringSubmatch(string(text), -1) {
			assert.Assert(t, defined[named[1]], "%s names %s", page, named[1])
		}
	}
}

// Another package speaks a word of the users' platform. The next change of the
// platform's names would then have to be made in two places, and one is missed.
func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	words := regexp.MustCompile(`X-Carawaystile-|Kv-From|"/version-put"|"/kv-[a-z]+"|fencing_token|kv_store_addr|path_prefix|traffic_split|api_keys`)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() && (entry.Name() == "platform" || entry.Name() == "journal" || entry.Name() == ".git") {
			if err == nil {
				return filepath.SkipDir
			}
			return err
		}
		if !strings.HasSuffix(path, ".go") || path == filepath.Join("..", "docs", "docs_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if found := words.Find(text); found != nil {
			t.Errorf("%s speaks of %s", path, found)
		}
		return err
	})
	assert.NilError(t, err)
}
