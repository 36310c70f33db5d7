package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// connectionHeaders returns the headers that the Connection header lists as hop-by-hop.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, name)
			}
		}
	}
	return names
}

// PromptPart is a part of a prompt that the client names. Requests whose prompts begin
// with the same parts in the same order can share cached work.
type PromptPart struct {
	ID     string
	Tokens int
}

// ParsePromptParts parses "id:tokens,id:tokens", limit parts at most. It stops at the first part that is
// malformed, because the parts before it can still be shared.
func ParsePromptParts(text string, limit int) []PromptPart {
	if text == "" {
		return nil
	}
	var parts []PromptPart
	for item := range strings.SplitSeq(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(count)
		if !found || err != nil || tokens < 0 {
			return parts
		}
		if len(parts) == limit {
			return parts
		}
		parts = append(parts, PromptPart{ID: id, Tokens: tokens})
	}
	return parts
}

// ParseTokenCounts parses "prompt,max output". A count that is malformed or negative is
// zero.
func ParseTokenCounts(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	output, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(prompt, 0), max(output, 0)
}

// MaxSlowdown is the largest slowdown in percent that is accepted. A larger one is most likely a
// mistake.
const MaxSlowdown = 10_000

// ValidSlowdown reports whether a slowdown in percent is in the accepted range.
func ValidSlowdown(percent int) bool { return percent > 0 && percent <= MaxSlowdown }

// EndpointLoad is the load that an endpoint reports in a response.
type EndpointLoad struct {
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes on the endpoint's machine at this moment, 100 as
	// usual; 0 if the endpoint names no usable value.
	SlowdownPercent int
	// SlowdownUnusable is set if the endpoint names a slowdown that is malformed or out of
	// range.
	SlowdownUnusable bool
}

// ParseLoad parses "running,waiting,slots" or "running,waiting,slots,slowdown" and reports
// whether the text is well-formed. A slowdown that is not usable leaves the other values valid.
func ParseLoad(text string) (EndpointLoad, bool) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return EndpointLoad{}, false
	}
	var numbers [3]int
	for i, field := range fields[:3] {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return EndpointLoad{}, false
		}
		numbers[i] = n
	}
	load := EndpointLoad{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
	if len(fields) == 4 {
		slowdown, err := strconv.Atoi(strings.TrimSpace(fields[3]))
		if load.SlowdownUnusable = err != nil || !ValidSlowdown(slowdown); !load.SlowdownUnusable {
			load.SlowdownPercent = slowdown
		}
	}
	return load, true
}

// ParseRateLimit parses a rate limit in requests per second. It returns limited as false
// if the text is not a finite number of at least zero.
func ParseRateLimit(text string) (perSecond float64, limited bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, false
	}
	return rate, true
}

// MaxRetryAfter is the longest back-off that is granted to an endpoint. A longer one is
// most likely a mistake, which must not take an endpoint out of service for good.
const MaxRetryAfter = 10 * time.Minute

// ParseRetryAfter parses a time in seconds, which may have a fraction. It reports ok as
// false if the text is not a finite number of at least zero; dates are not accepted, since
// the clocks of sender and receiver may differ.
func ParseRetryAfter(text string) (after time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || seconds < 0 || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
		return 0, false
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// ParseBrittle parses how many requests an endpoint can reject in a second before it fails. It
// reports ok as false if the text is not a whole number of at least zero that fits into 31 bits.
func ParseBrittle(text string) (rejections int, ok bool) {
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 31)
	return int(n), err == nil
}

// ParseDraining parses the value by which an endpoint says whether it is about to stop: "1",
// or "0" or nothing if it is not. It reports ok as false for any other text.
func ParseDraining(text string) (draining, ok bool) {
	switch strings.TrimSpace(text) {
	case "1":
		return true, true
	case "", "0":
		return false, true
	}
	return false, false
}
