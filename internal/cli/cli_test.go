package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// run executes one command line.
func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// writeFile writes a file in a new folder and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// A valid folder is summarised; an unknown key is reported with its file and the
// nearest known key.
func TestConfigCheck(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("config", "check", "../../examples/virtanen")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(out, "ok: 10 organisations, 2 models, 1 pools"))
	path := writeFile(t, "10-all.toml", "[rnak.urgent]\norder = 0\n")
	code, out, errs := run("config", "check", filepath.Dir(path))
	is.Equal(code, 1)
	is.Equal(out, "")
	is.Equal(errs, "cowslipfall: 10-all.toml: key rnak: is unknown: did you mean rank?\n")
}

// An invalid folder must be refused before the platform is contacted, which
// would fail here with another error.
func TestConfigApplyRefusesInvalidFolder(t *testing.T) {
	is := is.New(t)
	path := writeFile(t, "a.toml", "[rank.urgent]\nfloor = 2\n")
	code, _, errs := run("config", "apply", filepath.Dir(path), "--platform", "http://127.0.0.1:1")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "a.toml: key rank.urgent.floor"))
}

// The check of settings accepts a valid file and names the key of an invalid
// override.
func TestServeCheck(t *testing.T) {
	is := is.New(t)
	path := writeFile(t, "settings.toml", `
id = "entry-1"
data_centre = "lahti-1"
region = "etelainen"
listen = "127.0.0.1:0"
inner_listen = "127.0.0.1:0"
operator_listen = "127.0.0.1:0"
platform = "http://127.0.0.1:1"
inner_secret = "0123456789abcdef"
operator_key = "fedcba9876543210"
`)
	code, out, _ := run("serve", "--settings", path, "--check")
	is.Equal(code, 0)
	is.Equal(out, "ok: settings of node entry-1 in lahti-1\n")
	code, _, errs := run("serve", "--settings", path, "--check", "--set", "log_level=loud")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "key log_level: is \"loud\": use one of debug, info, warn, error"))
}

// A mistyped command or flag must fail with an error that helps to correct it.
func TestUnknownCommandAndFlag(t *testing.T) {
	is := is.New(t)
	code, _, errs := run("sttus")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "status")) // the nearest command is suggested
	code, _, errs = run("status", "--nod", "x")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "unknown flag: --nod"))
}
