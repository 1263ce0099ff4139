package settings

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/pkg/shop"
)

// validAgent is the minimal settings of an agent.
const validAgent = `{"name":"agent-1","place":{"region":"klang","zone":"klang-a","rack":"a1","worker":"w1"},
	"peers":"127.0.0.1:7000","keys":{"authority":"ca","certificate":"c","key":"k"},
	"worker":"http://127.0.0.1:7001","accelerators":8,"cores":128,"memory":"256GiB"}`

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		data string
		want []string
	}{
		{"valid", validAgent, nil},
		{"not JSON", `{"name"`, []string{"(file)", "name", "keys.authority", "keys.certificate", "keys.key", "peers", "worker", "cores", "memory"}},
		{
			"several problems at once",
			`{"name":"agent 1","peers":"7000","colour":"red","keys":{"authority":"ca","certificate":"c"},
			 "worker":"http://127.0.0.1:7001","accelerators":"eight","cores":128,"memory":"256",
			 "logging":{"level":"loud"}}`,
			[]string{"accelerators", "colour", "memory", "name", "keys.key", "logging.level", "peers"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Agent
			err := Parse("agent.json", []byte(tt.data), &a)
			var l shop.ProblemList
			if err != nil && !errors.As(err, &l) {
				t.Fatalf("Parse: %v", err)
			}
			var got []string
			for _, p := range l {
				if p.File != "agent.json" || p.Message == "" {
					t.Errorf("problem without file or message: %+v", p)
				}
				got = append(got, p.Field)
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestDefaults(t *testing.T) {
	var a Agent
	if err := Parse("agent.json", []byte(validAgent), &a); err != nil {
		t.Fatal(err)
	}
	if a.ShutdownTimeout != shop.Duration(30*time.Second) || a.Logging.Level != "info" || a.Memory != 256*shop.GiB {
		t.Errorf("%+v", a)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validAgent))
	f.Add([]byte(`{"place":{"zone":7}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a Agent
		err := Parse("agent.json", data, &a)
		if err == nil && (a.Name == "" || a.Cores <= 0) {
			t.Errorf("accepted without a name or cores: %s", data)
		}
		if err != nil && !errors.Is(err, shop.ErrInvalid) {
			t.Errorf("Parse: %v", err)
		}
	})
}
