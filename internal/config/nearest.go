package config

import (
	"slices"
	"strings"
)

// maxTypoDistance is the largest edit distance at which a name is suggested.
const maxTypoDistance = 3

// maxListedNames is the largest number of known names that a message lists.
const maxListedNames = 12

// nearestHint returns a remedy that suggests the known name closest to got. If no
// name is close, it lists the known names.
func nearestHint(got string, known []string) string {
	names := slices.Sorted(slices.Values(known))
	best, distance := "", maxTypoDistance+1
	for _, name := range names {
		if d := editDistance(strings.ToLower(got), strings.ToLower(name)); d < distance && d < len(name) {
			best, distance = name, d
		}
	}
	switch {
	case best != "":
		return ": did you mean " + best + "?"
	case len(names) == 0:
		return ": remove it"
	case len(names) > maxListedNames:
		return ": remove it, or see docs/reference.md for the known ones"
	default:
		return ": use one of " + strings.Join(names, ", ")
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
