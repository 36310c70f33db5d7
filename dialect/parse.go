package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

// connectionNames lists the headers that Connection names as its own.
func connectionNames(header http.Header) []string {
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

// PromptPart is a piece of a prompt that the caller names, so that requests with the
// same pieces in the same order can share cached work.
type PromptPart struct {
	ID     string
	Tokens int
}

// ParsePromptParts reads "id:tokens,id:tokens". Parts after one that cannot be read
// are left out: what stands before them is still shared.
func ParsePromptParts(text string) []PromptPart {
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
		parts = append(parts, PromptPart{ID: id, Tokens: tokens})
	}
	return parts
}

// ParseTokenCounts reads "prompt,most output"; zeros where it cannot be read.
func ParseTokenCounts(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	output, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(prompt, 0), max(output, 0)
}

// EndpointLoad is what an endpoint says of itself in an answer.
type EndpointLoad struct {
	Running, Waiting, Slots int
}

// ParseLoad reads "running,waiting,slots" and says whether it could.
func ParseLoad(text string) (EndpointLoad, bool) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return EndpointLoad{}, false
	}
	var numbers [3]int
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return EndpointLoad{}, false
		}
		numbers[i] = n
	}
	return EndpointLoad{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// ParseRateLimit reads a rate limit in requests a second; limited is false if the text holds none
// that can be read.
func ParseRateLimit(text string) (perSecond float64, limited bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, false
	}
	return rate, true
}
