package peer

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeKey writes a key file and returns its path.
func writeKey(t *testing.T, dir, name, contents string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(contents), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkSettings checks settings with rules like those for the configuration file.
func checkSettings(f *FileSettings, name string) (*Settings, error) {
	isValidName := func(text string) bool { return text != "" && !strings.Contains(text, " ") }
	return f.Check(name, netip.Addr.IsLoopback, isValidName)
}

// TestSettingsErrorsNameTheField verifies that valid settings are accepted and that the error for invalid ones names
// the field.
func TestSettingsErrorsNameTheField(t *testing.T) {
	dir := t.TempDir()
	keyFile := writeKey(t, dir, "key", " 0123456789abcdef\n")
	shortKeyFile := writeKey(t, dir, "short", "0123456789abcde \n")
	valid := func() *FileSettings {
		return &FileSettings{
			Listen:   "127.0.0.1:7000",
			KeyFile:  keyFile,
			StateDir: dir,
			Control:  "/run/x",
			Gateways: []Gateway{{"n0", "127.0.0.1:7000"}, {"n1", "127.0.0.1:7001"}},
		}
	}
	settings, err := checkSettings(valid(), "n1")
	if err != nil || settings.Index != 1 || string(settings.Key) != "0123456789abcdef" || !settings.Same(settings) {
		t.Fatalf("%+v, %v", settings, err)
	}
	cases := []struct {
		// wantPrefix is the expected prefix of the error.
		wantPrefix string
		change     func(*FileSettings)
	}{
		{"listen ", func(f *FileSettings) { f.Listen = "n0:7000" }},
		{"listen 10.", func(f *FileSettings) { f.Listen = "10.0.0.1:7000" }},
		{"door has", func(f *FileSettings) { f.Gateways = nil }},
		{"door[1].name", func(f *FileSettings) { f.Gateways[1].Name = "n0" }},
		{"door[1].address ", func(f *FileSettings) { f.Gateways[1].Address = "127.0.0.1" }},
		{"door[1].address 1", func(f *FileSettings) { f.Gateways[1].Address = "127.0.0.1:7000" }},
		{"state_dir is", func(f *FileSettings) { f.StateDir = "" }},
		{"state_dir \"", func(f *FileSettings) { f.StateDir = keyFile }},
		{"control", func(f *FileSettings) { f.Control = "x" }},
		{"control has", func(f *FileSettings) { f.Control = "/" + strings.Repeat("x", 100) }},
		{"key_file is", func(f *FileSettings) { f.KeyFile = "" }},
		{"key_file " + shortKeyFile, func(f *FileSettings) { f.KeyFile = shortKeyFile }},
		{"key_file open", func(f *FileSettings) { f.KeyFile = filepath.Join(dir, "none") }},
	}
	for _, c := range cases {
		t.Run(c.wantPrefix, func(t *testing.T) {
			f := valid()
			c.change(f)
			other, err := checkSettings(f, "n0")
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || !strings.HasPrefix(err.Error(), c.wantPrefix) {
				t.Error(err)
			}
			if err == nil && other.Same(settings) {
				t.Error("invalid settings equal the valid ones")
			}
		})
	}
	if _, err := checkSettings(valid(), "n7"); err == nil || !strings.Contains(err.Error(), `none is named "n7"`) {
		t.Error(err)
	}
}
