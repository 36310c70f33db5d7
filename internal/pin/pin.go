//go:build pin

// Package pin keeps modules in go.mod until the code that uses them has landed.
package pin

import (
	_ "github.com/google/subcommands"
	_ "github.com/gravitational/trace"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sys/unix"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
