package config

import (
	"slices"
	"strings"
)

// maxTypoDistance is the largest edit distance at which a name is suggested.
const maxTypoDistance = 3

// mostListed is the largest number of known names that a message lists.
const mostListed = 12

// nearestHint returns a remedy that names the known word closest to got.
func nearestHint(got string, known []string) string {
	list := slices.Sorted(slices.Values(known))
	best, distance := "", maxTypoDistance+1
	for _, k := range list {
		if d := editDistance(strings.ToLower(got), strings.ToLower(k)); d < distance && d < len(k) {
			best, distance = k, d
		}
	}
	switch {
	case best != "":
		return ": did you mean " + best + "?"
	case len(list) == 0:
		return ": remove it"
	case len(list) > mostListed:
		return ": remove it, or see docs/reference.md for the known ones"
	default:
		return ": use one of " + strings.Join(list, ", ")
	}
}

// editDistance returns the Levenshtein distance of a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal = row[j]
			row[j] = next
		}
	}
	return row[len(b)]
}
