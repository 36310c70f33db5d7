package settings

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// lenientNumber reads a number, which may be a fraction. The lenient readers are for
// quantities that the users' platform fills in: a value out of bounds is clamped to the
// nearest bound, and an unreadable one leaves the default in dst. Both are recorded as
// replaced.
func lenientNumber(dst *float64, low, high float64) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a number from %g to %g", low, high)
		s, ok := n.lenientScalar(right, *dst)
		if !ok {
			return
		}
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || v != v {
			n.replace(right, *dst)
			return
		}
		*dst = clamp(n, right, v, low, high)
	}
}

// lenientInteger reads a number and rounds it towards zero.
func lenientInteger(dst *int, low, high int) func(node) {
	return func(n node) {
		v := float64(*dst)
		lenientNumber(&v, float64(low), float64(high))(n)
		*dst = int(v)
	}
}

// lenientDuration reads a duration with its unit.
func lenientDuration(dst *time.Duration, low, high time.Duration) func(node) {
	return func(n node) {
		right := fmt.Sprintf("a time from %s to %s with its unit, such as 500ms, 30s or 10m", low, high)
		s, ok := n.lenientScalar(right, *dst)
		if !ok {
			return
		}
		v, err := time.ParseDuration(s)
		if err != nil {
			n.replace(right, *dst)
			return
		}
		*dst = clamp(n, right, v, low, high)
	}
}

// clamp returns v limited to the bounds, and records a replacement if that changes it.
func clamp[T cmp.Ordered](n node, right string, v, low, high T) T {
	near := min(max(v, low), high)
	if near != v {
		n.replace(right, near)
	}
	return near
}

// lenientScalar returns the text of a scalar; for other nodes it records a replacement.
func (n node) lenientScalar(right string, instead any) (string, bool) {
	s, plain := n.plain()
	if !plain {
		n.replace(right, instead)
	}
	return s, plain
}

// replace records that instead is used in place of the value at n.
func (n node) replace(right string, instead any) {
	n.out.replaced = append(n.out.replaced, Problem{
		File: n.file, Line: n.Line, Column: n.Column, Path: n.path,
		Wrong: fmt.Sprintf("%s does not fit; %v is used", n.describe(), instead), Right: right,
	})
}
