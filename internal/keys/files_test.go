package keys

import (
	"errors"
	"io/fs"
	"os"
	"testing"
	"time"
)

func TestFolder(t *testing.T) {
	f := Folder(t.TempDir())
	a := newAuthority(t)
	pair, err := a.Issue(RoleAgent, "worker-1", time.Now(), "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		file  string
		mode  fs.FileMode
		write func() error
	}{
		{AuthorityKeyFile, 0o600, func() error { return f.WriteAuthority(a) }},
		{"worker-1-key.pem", 0o600, func() error { return f.WritePair("worker-1", pair) }},
		{"kapur.token", 0o600, func() error { return f.WriteToken("kapur", "token") }},
		{"kapur.sh", 0o600, func() error { return f.WriteScript("kapur", "script") }},
	}
	for _, tt := range tests {
		if err := tt.write(); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(f.Path(tt.file))
		if err != nil {
			t.Fatal(err)
		}
		if info.Mode().Perm() != tt.mode {
			t.Errorf("%s: mode %v", tt.file, info.Mode())
		}
		if err := tt.write(); !errors.Is(err, fs.ErrExist) {
			t.Errorf("%s: second write: %v", tt.file, err)
		}
	}
	b, err := f.Authority()
	if err != nil || !b.Key.Equal(a.Key) {
		t.Errorf("the authority that was read is not the one that was written: %v", err)
	}
}
