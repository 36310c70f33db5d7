package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxFileBytes bounds the size of a file; larger files are rejected without parsing.
const maxFileBytes = 64 << 20

// namePattern is the syntax of names. Names appear in logs, metrics, URLs and hash inputs,
// so they must not contain spaces, separators or control characters.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// node is a YAML node with its position in the document, for reporting problems.
type node struct {
	*yaml.Node
	file string
	path string
	out  *collector
}

// field reads the value of one key of a mapping.
type field struct {
	key      string
	required bool
	read     func(node)
}

// parse parses one YAML document. If the text is not valid YAML, it records a problem in out
// and returns false with a node that must not be used (its inner node is nil).
func parse(file string, text []byte, out *collector) (node, bool) {
	if len(text) > maxFileBytes {
		out.add(Problem{File: file, Wrong: "the file is larger than 64 MiB", Right: "several smaller files"})
		return node{}, false
	}
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		out.add(Problem{File: file, Line: yamlLine(err), Column: 1, Wrong: "this is not YAML: " + err.Error()})
		return node{}, false
	}
	if document.Kind != yaml.DocumentNode || len(document.Content) == 0 {
		out.add(Problem{File: file, Wrong: "the file is empty", Right: "at least one declaration"})
		return node{}, false
	}
	return node{Node: document.Content[0], file: file, out: out}, true
}

var yamlLinePattern = regexp.MustCompile(`line (\d+)`)

// yamlLine extracts the line number from a YAML parser's error; 0 if it contains none.
func yamlLine(err error) int {
	match := yamlLinePattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 0
	}
	line, _ := strconv.Atoi(match[1])
	return line
}

func (n node) problem(wrong, right string) {
	n.out.add(Problem{File: n.file, Line: n.Line, Column: n.Column, Path: n.path, Wrong: wrong, Right: right})
}

// child returns a node below n; it resolves an alias.
func (n node) child(inner *yaml.Node, path string) node {
	if inner.Kind == yaml.AliasNode {
		inner = inner.Alias
	}
	return node{Node: inner, file: n.file, path: path, out: n.out}
}

// object reads a mapping. It reports unknown and duplicate keys, and required keys that are
// missing.
func (n node) object(fields ...field) {
	if n.Kind != yaml.MappingNode {
		n.problem("this is "+n.describe(), "a mapping with the keys "+strings.Join(keys(fields), ", "))
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		n.key(n.Content[i], n.Content[i+1], fields, seen)
	}
	for _, f := range fields {
		if _, ok := seen[f.key]; f.required && !ok {
			n.problem("the key "+f.key+" is missing", "a line with "+f.key+":")
		}
	}
}

func (n node) key(key, value *yaml.Node, fields []field, seen map[string]int) {
	path := key.Value
	if n.path != "" {
		path = n.path + "." + key.Value
	}
	place := n.child(key, path)
	if line, ok := seen[key.Value]; ok {
		place.problem(fmt.Sprintf("the key %s is given twice, first in line %d", key.Value, line), "one of the two")
		return
	}
	seen[key.Value] = key.Line
	for _, f := range fields {
		if f.key == key.Value {
			f.read(n.child(value, path))
			return
		}
	}
	place.problem("the key "+key.Value+" is not known", oneOf(key.Value, keys(fields)))
}

func keys(fields []field) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return names
}

// describe returns the kind of the value at n, or the text of a scalar, for messages.
func (n node) describe() string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	if n.Tag == "!!null" {
		return "empty"
	}
	return strconv.Quote(n.Value)
}

// list calls read for each item of a sequence.
func (n node) list(read func(node)) {
	if n.Kind != yaml.SequenceNode {
		n.problem("this is "+n.describe(), "a list")
		return
	}
	for i, item := range n.Content {
		read(n.child(item, fmt.Sprintf("%s[%d]", n.path, i)))
	}
}

// scalar returns the text of a scalar; for other nodes it reports a problem.
func (n node) scalar(right string) (string, bool) {
	s, plain := n.plain()
	if !plain {
		n.problem("this is "+n.describe(), right)
	}
	return s, plain
}

// plain returns the text of a scalar, and false for other nodes and null.
func (n node) plain() (string, bool) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		return "", false
	}
	return n.Value, true
}

func (n node) text(dst *string) {
	if s, ok := n.scalar("a text"); ok {
		*dst = s
	}
}

// name reads an identifier.
func name[T ~string](dst *T) func(node) {
	return func(n node) {
		const right = "letters, digits, dots, underscores and hyphens, at most 128"
		s, ok := n.scalar(right)
		if !ok {
			return
		}
		if !namePattern.MatchString(s) {
			n.problem(strconv.Quote(s)+" is not a name", right)
			return
		}
		*dst = T(s)
	}
}

// names reads a list of identifiers and reports duplicates.
func names[T ~string](dst *[]T) func(node) {
	return func(n node) {
		seen := make(map[T]bool)
		n.list(func(item node) {
			var one T
			name(&one)(item)
			if one == "" {
				return
			}
			if seen[one] {
				item.problem(string(one)+" is listed twice", "one of the two")
				return
			}
			seen[one] = true
			*dst = append(*dst, one)
		})
	}
}

func boolean(dst *bool) func(node) {
	return func(n node) {
		s, ok := n.scalar("true or false")
		switch {
		case !ok:
		case s == "true" || s == "yes":
			*dst = true
		case s == "false" || s == "no":
			*dst = false
		default:
			n.problem(strconv.Quote(s)+" is neither true nor false", "true or false")
		}
	}
}

func integer(dst *int, low, high int) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a whole number from %d to %d", low, high)
		s, ok := n.scalar(right)
		if !ok {
			return
		}
		v, err := strconv.Atoi(s)
		if err != nil || v < low || v > high {
			n.problem(strconv.Quote(s)+" does not fit", right)
			return
		}
		*dst = v
	}
}

func number(dst *float64, low, high float64) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a number from %g to %g", low, high)
		s, ok := n.scalar(right)
		if !ok {
			return
		}
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(v >= low && v <= high) {
			n.problem(strconv.Quote(s)+" does not fit", right)
			return
		}
		*dst = v
	}
}

// duration reads a duration with its unit.
func duration(dst *time.Duration, low, high time.Duration) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a time from %s to %s with its unit, such as 500ms, 30s or 10m", low, high)
		s, ok := n.scalar(right)
		if !ok {
			return
		}
		if _, err := strconv.ParseFloat(s, 64); err == nil && s != "0" {
			n.problem(s+" has no unit", s+"s for seconds, "+s+"ms for milliseconds")
			return
		}
		v, err := time.ParseDuration(s)
		if err != nil || v < low || v > high {
			n.problem(strconv.Quote(s)+" does not fit", right)
			return
		}
		*dst = v
	}
}

// sizeUnits are the accepted units of sizes.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// size reads a size in bytes with its unit.
func size(dst *int64, low, high int64) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a size from %d B to %d B with its unit, such as 512KiB or 8MiB", low, high)
		s, ok := n.scalar(right)
		if !ok {
			return
		}
		for _, unit := range sizeUnits {
			digits, found := strings.CutSuffix(s, unit.suffix)
			if !found {
				continue
			}
			v, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
			if err != nil || v*unit.bytes < low || v*unit.bytes > high {
				break
			}
			*dst = v * unit.bytes
			return
		}
		n.problem(strconv.Quote(s)+" does not fit", right)
	}
}

// address reads an IP address with a port. Host names are rejected because instances must
// work without name resolution.
func address(dst *netip.AddrPort) func(node) {
	return func(n node) {
		const right = "an IP number and a port, such as 10.0.1.5:8080 or [fd00::5]:8080"
		s, ok := n.scalar(right)
		if !ok {
			return
		}
		at, err := netip.ParseAddrPort(s)
		if err == nil && at.Port() != 0 {
			*dst = at
			return
		}
		host, _, found := strings.Cut(s, ":")
		if _, err := netip.ParseAddr(host); found && host != "" && err != nil && !strings.HasPrefix(s, "[") {
			n.problem(strconv.Quote(host)+" is a host name", right)
			return
		}
		n.problem(strconv.Quote(s)+" is not an address", right)
	}
}

// choice reads one of a fixed set of words.
func choice[T any](dst *T, words []string, values map[string]T) func(node) {
	return func(n node) {
		s, ok := n.scalar("one of " + strings.Join(words, ", "))
		if !ok {
			return
		}
		v, known := values[s]
		if !known {
			n.problem(strconv.Quote(s)+" is not known here", oneOf(s, words))
			return
		}
		*dst = v
	}
}
