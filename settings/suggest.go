package settings

import "strings"

// nearest returns the known word that is closest to word, or the empty string
// when none is close enough to have been meant.
func nearest(word string, known []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, candidate := range known {
		if d := distance(word, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// distance is the Levenshtein distance of two words, in bytes.
func distance(a, b string) int {
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

// oneOf describes the accepted words, with the likely one first.
func oneOf(word string, known []string) string {
	if guess := nearest(word, known); guess != "" {
		return guess + " (known: " + strings.Join(known, ", ") + ")"
	}
	return "one of " + strings.Join(known, ", ")
}
