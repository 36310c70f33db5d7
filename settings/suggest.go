package settings

import "strings"

// nearestWord returns the known word with the smallest edit distance to word, or the empty
// string if none is close enough to be a plausible typo.
func nearestWord(word string, known []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, candidate := range known {
		if d := levenshtein(word, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// levenshtein returns the Levenshtein distance of two words, in bytes.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitute := diagonal
			if a[i-1] != b[j-1] {
				substitute++
			}
			diagonal = row[j]
			row[j] = min(row[j]+1, row[j-1]+1, substitute)
		}
	}
	return row[len(b)]
}

// oneOf describes the accepted words, the suggested one first.
func oneOf(word string, known []string) string {
	if guess := nearestWord(word, known); guess != "" {
		return guess + " (known: " + strings.Join(known, ", ") + ")"
	}
	return "one of " + strings.Join(known, ", ")
}
