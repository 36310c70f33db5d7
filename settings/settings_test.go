package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validDeclarations = `
models:
  - {name: m, weights: w1, adapters: [a]}
profiles:
  - {name: p, model: m, may_repeat: true, timeout: 30s}
organisations:
  - {name: o, token_sha256: [e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855]}
endpoints:
  - {name: e, zone: z, address: '10.0.0.1:80', models: [m]}
`

func problems(t *testing.T, err error) []Problem {
	t.Helper()
	var invalid *ValidationError
	assert.Assert(t, errors.As(err, &invalid), "want a ValidationError, got %v", err)
	return invalid.Problems
}

func TestExamplesAreValid(t *testing.T) {
	for _, folder := range []string{"../examples/ashanti", "../examples/tawe"} {
		c, err := ReadDeclarations(folder)
		assert.NilError(t, err)
		assert.Equal(t, len(c.Organisations), 8)
	}
	files, err := filepath.Glob("../examples/instances/*.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 4)
	for _, file := range files {
		p, err := ReadProcess(file)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(p.Data, "../examples/instances/data/"), "data folder %s", p.Data)
	}
}

// Guards against a mistake in a declaration that takes effect as something other than its
// author intended.
func TestDeclarationMistakes(t *testing.T) {
	tests := []struct {
		name, old, new string
		wrong, right   string
	}{
		{"unknown key", "timeout: 30s", "timeuot: 30s", "timeuot is not known", "timeout"},
		{"no unit", "timeout: 30s", "timeout: 30", "has no unit", "30s for seconds"},
		{"key twice", "timeout: 30s", "timeout: 30s, timeout: 40s", "given twice", "one of the two"},
		{"host name", "'10.0.0.1:80'", "engine-1:80", "host name", "an IP number"},
		{"port missing", "'10.0.0.1:80'", "10.0.0.1", "not an address", "an IP number"},
		{"unknown model", "model: m,", "model: mm,", "no model is called mm", "m"},
		{"unknown word", "timeout: 30s", "priority: urgnt", "not known here", "urgent"},
		{"waiting urgently", "timeout: 30s", "timeout: 30s, priority: urgent, can_wait: 5s", "urgent, but", "can_wait: no"},
		{"waits past timeout", "timeout: 30s", "timeout: 30s, can_wait: 30s", "may wait", "longer than can_wait"},
		{"hedged once-only work", "may_repeat: true", "may_repeat: false, hedge: true", "runs work twice", "hedge: false"},
		{"repeat not said", "may_repeat: true, ", "", "may_repeat is missing", "may_repeat:"},
		{"model and service", "model: m,", "model: m, service: s,", "both a model and a service", "one of the two"},
		{"nobody serves", "models: [m]}", "service: s}", "no endpoint serves", "an endpoint that lists"},
		{"token in clear", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", "secret", "not a SHA-256", "64 hexadecimal"},
		{"not a name", "name: o,", "name: 'o p',", "not a name", "letters"},
		{"no profile allowed", "name: o,", "name: o, profiles: [],", "empty", "leave the key out"},
		{"name twice", "- {name: p,", "- {name: p, model: m, may_repeat: true}\n  - {name: p,", "declared twice, first at d.yaml:5", "another name"},
		{"unknown adapter", "model: m,", "model: m, adapter: b,", "no adapter b", "the model lists"},
		{"no mapping", "- {name: m, weights: w1, adapters: [a]}", "- m", `this is "m"`, "a mapping"},
		{"no YAML", "models:", "models: [", "not YAML", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validDeclarations, test.old, test.new, 1)
			assert.Assert(t, text != validDeclarations)
			_, err := ParseDeclarations(map[string][]byte{"d.yaml": []byte(text)})
			found := problems(t, err)
			for _, p := range found {
				if strings.Contains(p.Wrong, test.wrong) && strings.Contains(p.Right, test.right) {
					assert.Assert(t, p.Line > 0, "no line in %v", p)
					return
				}
			}
			t.Fatalf("not reported: %v", found)
		})
	}
}

func TestAllProblemsAreReportedWithTheirLines(t *testing.T) {
	text := strings.Replace(validDeclarations, "timeout: 30s", "timeout: 30", 1)
	text = strings.Replace(text, "zone: z, ", "", 1)
	_, err := ParseDeclarations(map[string][]byte{"d.yaml": []byte(text)})
	found := problems(t, err)
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[0].Line, 5)
	assert.Equal(t, found[0].Path, "profiles[0].timeout")
	assert.Equal(t, found[1].Line, 9)
}

// Guards against a silent override when two files of a folder declare the same endpoint, as
// happens when two people add it.
func TestDuplicatesAcrossFiles(t *testing.T) {
	_, err := ParseDeclarations(map[string][]byte{
		"a.yaml": []byte(validDeclarations),
		"b.yaml": []byte("endpoints:\n  - {name: e, zone: z, address: '10.0.0.2:80', models: [m]}\n"),
	})
	found := problems(t, err)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].File, "b.yaml")
	assert.Assert(t, strings.Contains(found[0].Wrong, "first at a.yaml:9"), found[0].Wrong)
}

func TestProcessMistakes(t *testing.T) {
	text, err := os.ReadFile("../examples/instances/accra-a-1.yaml")
	assert.NilError(t, err)
	tests := []struct{ name, old, new, wrong string }{
		{"size without unit", "body: 8MiB", "body: 8", "does not fit"},
		{"size too large", "body: 8MiB", "body: 8000GiB", "does not fit"},
		{"no role", "[entry, control]", "[]", "has no role"},
		{"unknown role", "[entry, control]", "[entrance]", "not known here"},
		{"not listed", "instance: accra-a-1", "instance: accra-a-2", "does not list it"},
		{"no callers", "  callers: 127.20.1.5:8080\n", "", "no address for callers"},
		{"even group", "  - {name: accra-c-1, zone: accra-c, address: '127.20.3.5:8081'}\n", "", "control instances is 2"},
		{"listed twice", "name: accra-b-1", "name: accra-c-1", "listed twice"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(string(text), test.old, test.new, 1)
			assert.Assert(t, changed != string(text))
			_, err := ParseProcess("i.yaml", []byte(changed))
			assert.ErrorContains(t, err, test.wrong)
		})
	}
}

// FuzzParseDeclarations checks that any input, which reaches the parser from outside through
// apply, yields either a configuration or a list of problems.
func FuzzParseDeclarations(f *testing.F) {
	f.Add([]byte(validDeclarations))
	f.Add([]byte("profiles: [&a {name: x}, *a]"))
	f.Add([]byte("models: {a: 1}\n\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseDeclarations(map[string][]byte{"f": text})
		if (c == nil) == (err == nil) {
			t.Fatalf("configuration %v, failure %v", c, err)
		}
	})
}
