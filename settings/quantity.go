package settings

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// The readers below are for quantities that the users' platform fills in. A value
// out of bounds counts as the nearest bound, and one that cannot be read leaves
// what dst holds, the default. Both are noted as replaced.

// quantity reads a number, which may be a fraction.
func quantity(dst *float64, low, high float64) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a number from %g to %g", low, high)
		s, ok := n.quantityText(right, *dst)
		if !ok {
			return
		}
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || v != v {
			n.replace(right, *dst)
			return
		}
		*dst = bounded(n, right, v, low, high)
	}
}

// whole reads a number and rounds it down.
func whole(dst *int, low, high int) func(node) {
	return func(n node) {
		v := float64(*dst)
		quantity(&v, float64(low), float64(high))(n)
		*dst = int(v)
	}
}

// period reads a length of time with its unit.
func period(dst *time.Duration, low, high time.Duration) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a time from %s to %s with its unit, such as 500ms, 30s or 10m", low, high)
		s, ok := n.quantityText(right, *dst)
		if !ok {
			return
		}
		v, err := time.ParseDuration(s)
		if err != nil {
			n.replace(right, *dst)
			return
		}
		*dst = bounded(n, right, v, low, high)
	}
}

// bounded returns v or the bound that is nearest to it.
func bounded[T cmp.Ordered](n node, right string, v, low, high T) T {
	near := min(max(v, low), high)
	if near != v {
		n.replace(right, near)
	}
	return near
}

// quantityText gives the text of a plain value.
func (n node) quantityText(right string, instead any) (string, bool) {
	s, plain := n.plain()
	if !plain {
		n.replace(right, instead)
	}
	return s, plain
}

// replace notes that something else is used instead of the value at n.
func (n node) replace(right string, instead any) {
	n.out.replaced = append(n.out.replaced, Problem{
		File: n.file, Line: n.Line, Column: n.Column, Path: n.path,
		Wrong: fmt.Sprintf("%s does not fit; %v is used", n.describe(), instead), Right: right,
	})
}
