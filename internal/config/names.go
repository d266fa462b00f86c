package config

import "regexp"

// nameRule describes valid names. Names are parts of table keys, metric labels and
// paths.
const nameRule = "use 1 to 64 letters, digits, \".\", \"_\" or \"-\", a letter or digit first"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func validName(s string) bool { return namePattern.MatchString(s) }
