package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `
id = "entry-1"
data_centre = "lahti-1"
region = "etelainen"
listen = "10.0.0.1:8080"
inner_listen = "10.0.0.1:8081"
operator_listen = "10.0.0.1:8082"
platform = "http://10.0.0.9:7000"
peers = ["10.0.0.2:8081"]
inner_secret = "0123456789abcdef"
operator_key = "fedcba9876543210"
`

// loadText loads settings from a file with the given text.
func loadText(t *testing.T, text string, environ []string, overrides map[string]string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return LoadSettings(path, environ, overrides)
}

// Environment variables override the file, and overrides take precedence over both.
func TestSettingsPrecedence(t *testing.T) {
	is := is.New(t)
	s, err := loadText(t, validSettings,
		[]string{"HOME=/root", "COWSLIPFALL_ID=entry-2", "COWSLIPFALL_REGION=north", "COWSLIPFALL_PEERS=10.0.0.3:1, 10.0.0.4:1"},
		map[string]string{"region": "south", "platform_timeout": "2s"})
	is.NoErr(err)
	is.Equal(s.ID, "entry-2")
	is.Equal(s.Region, "south")
	is.Equal(s.Peers, []string{"10.0.0.3:1", "10.0.0.4:1"})
	is.Equal(s.PlatformTimeout.Std(), 2*time.Second)
	is.Equal(s.LogLevel, "info")
	s, err = loadText(t, validSettings, []string{"COWSLIPFALL_PEERS="}, nil)
	is.NoErr(err)
	is.Equal(len(s.Peers), 0) // an empty variable gives an empty list
}

// Each fault of a settings file names the key and the remedy.
func TestSettingsFaults(t *testing.T) {
	for _, c := range []struct{ old, new, key, remedy string }{
		{`id = "entry-1"`, ``, "id", "is missing"},
		{`id = "entry-1"`, `id = "a/b"`, "id", "is not a name"},
		{`id = "entry-1"`, `id = 1`, "id", "is an integer: write a string"},
		{`id = "entry-1"`, `ID = "entry-1"`, "ID", "did you mean id?"},
		{`region = `, `regoin = `, "regoin", "did you mean region?"},
		{`listen = "10.0.0.1:8080"`, `listen = "host:8080"`, "listen", "write IP:port"},
		{`listen = "10.0.0.1:8080"`, `listen = "10.0.0.1:99999"`, "listen", "write IP:port"},
		{`listen = "10.0.0.1:8080"`, `listen = ":8080"`, "listen", "write IP:port"},
		{`listen = "10.0.0.1:8080"`, `listen = "0.0.0.0:8080"`, "listen", "the VM's own IP"},
		{`inner_listen = "10.0.0.1:8081"`, `inner_listen = "10.0.0.1:8080"`, "inner_listen", "also the address of listen"},
		{`id = "entry-1"`, "id = \"entry-1\"\nclaim_life = \"1h\"", "claim_life", "write 24h to 87600h"},
		{`id = "entry-1"`, "id = \"entry-1\"\nbill_life = \"0s\"", "bill_life", "write 24h to 87600h"},
		{`id = "entry-1"`, "id = \"entry-1\"\npin_life = \"100000h\"", "pin_life", "write 24h to 87600h"},
		{`platform = "http://10.0.0.9:7000"`, `platform = "10.0.0.9:7000"`, "platform", "is not a URL"},
		{`platform = "http://10.0.0.9:7000"`, `platform = "ftp://10.0.0.9"`, "platform", "is not a URL"},
		{`peers = ["10.0.0.2:8081"]`, `peers = ["10.0.0.2"]`, "peers[0]", "write IP:port"},
		{`peers = ["10.0.0.2:8081"]`, `peers = "10.0.0.2:8081"`, "peers", "write an array"},
		{`inner_secret = "0123456789abcdef"`, `inner_secret = "short"`, "inner_secret", "at least 16"},
		{`operator_key = "fedcba9876543210"`, `operator_key = "0123456789abcdef"`, "operator_key", "choose another"},
		{`region = "etelainen"`, "region = \"etelainen\"\nplatform_timeout = 1", "platform_timeout", "write a duration"},
		{`region = "etelainen"`, "region = \"etelainen\"\nplatform_timeout = \"0s\"", "platform_timeout", "out of range"},
		{`region = "etelainen"`, "region = \"etelainen\"\nlog_level = \"loud\"", "log_level", "use one of debug"},
		{`region = "etelainen"`, "region = \"etelainen\"\nlog_format = \"xml\"", "log_format", "use one of json"},
		{`region = "etelainen"`, "region = \"etelainen\"\ntrace_exporter = \"file\"", "trace_exporter", "use one of none"},
		{`region = "etelainen"`, "region = \"etelainen\"\ntrace_exporter = \"otlp\"", "trace_endpoint", "is not a URL"},
		{`region = "etelainen"`, "region = \"etelainen\"\ntrace_ratio = 2", "trace_ratio", "outside 0 to 1"},
		{`region = "etelainen"`, `region = "etelainen`, "region", "is not valid TOML"},
	} {
		t.Run(c.new, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSettings, c.old)) // the case changes something
			_, err := loadText(t, strings.Replace(validSettings, c.old, c.new, 1), nil, nil)
			var fault *FolderError
			is.True(errors.As(err, &fault)) // a typed fault
			is.Equal(fault.Key, c.key)
			is.True(strings.Contains(fault.File, "settings.toml")) // the file is named
			if !strings.Contains(fault.Remedy, c.remedy) {
				t.Errorf("the remedy is %q", fault.Remedy)
			}
		})
	}
}

// Faults outside the settings file name their source.
func TestFaultsOutsideSettingsFile(t *testing.T) {
	is := is.New(t)
	_, err := loadText(t, validSettings, []string{"COWSLIPFALL_LISEN=x"}, nil)
	is.Equal(err.Error(), "environment variable COWSLIPFALL_LISEN: key lisen: is unknown: did you mean listen?")
	for range 20 {
		_, err = loadText(t, validSettings, nil, map[string]string{"idd": "x", "platform_timeot": "y"})
		is.Equal(err.Error(), "command line: key idd: is unknown: did you mean id?") // the first key in lexical order each time
	}
	_, err = loadText(t, validSettings, nil, map[string]string{"platform_timeout": "fast"})
	is.True(strings.Contains(err.Error(), "key platform_timeout: \"fast\" is not a duration"))
	_, err = loadText(t, validSettings, nil, map[string]string{"trace_ratio": "all"})
	is.Equal(err.Error(), `command line: key trace_ratio: "all" is not a number: write one such as 0.01`)
	_, err = LoadSettings("/nonexistent/settings.toml", nil, nil)
	is.True(strings.Contains(err.Error(), "/nonexistent/settings.toml: cannot be read"))
	_, err = LoadSettings("", nil, nil)
	is.Equal(err.Error(), "key id: is missing: set it")
}

// Any text either gives a *FolderError with a remedy, or settings that pass Check.
func FuzzSettings(f *testing.F) {
	f.Add(validSettings, "id", "x")
	f.Add("id = 1", "peers", "a,,b")
	f.Add("[id]\nx = 1", "platform_timeout", "-1s")
	f.Add("\xff", "", "")
	f.Fuzz(func(t *testing.T, text, key, value string) {
		s, err := loadText(t, text, []string{EnvPrefix + strings.ToUpper(key) + "=" + value}, map[string]string{key: value})
		if err != nil {
			var fault *FolderError
			if !errors.As(err, &fault) || fault.Remedy == "" {
				t.Fatalf("the fault has no type or remedy: %v", err)
			}
			return
		}
		if err := s.Check(""); err != nil {
			t.Fatal(err)
		}
	})
}
