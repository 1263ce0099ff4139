package shop

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"
)

// folderOf returns a folder of files named "1.json", "2.json" and so on.
func folderOf(files ...string) fstest.MapFS {
	fsys := fstest.MapFS{}
	for i, data := range files {
		fsys[string(rune('1'+i))+".json"] = &fstest.MapFile{Data: []byte(data)}
	}
	return fsys
}

const sampleClass = `{"classes": [{"name": "quote", "urgent": true, "shape": {"accelerators": 1}}]}`

func TestReadFolder(t *testing.T) {
	fsys := folderOf(
		sampleClass,
		`{"teams": [{"name": "quotes", "quota": 8}], "policy": {"large-wait": "10m"}}`,
		`{"teams": [{"name": "vans"}, {"name": "quotes", "weight": 2}], "classes": [{"name": "quote", "shape": {"tasks": 2}}]}`,
		`{"teams": [{"name": "quotes", "quota": 16, "replace": true}], "policy": {"large-wait": "10m"}}`,
	)
	fsys["README.md"] = &fstest.MapFile{Data: []byte("not read")}
	f, err := ReadFolder(fsys)
	if err != nil {
		t.Fatal(err)
	}
	want := Config{
		Teams:   TeamList{{Name: "quotes", Quota: 16, Weight: 2}, {Name: "vans"}},
		Classes: ClassList{{Name: "quote", Urgent: true, Shape: Shape{Tasks: 2, Accelerators: 1}}},
		Policy:  Policy{LargeWait: Duration(10 * 60e9)},
	}.WithDefaults()
	if d := cmp.Diff(want, f.Config); d != "" {
		t.Error(d)
	}
	wantSources := SourceList{
		{"classes.quote.name", "1.json"},
		{"classes.quote.shape.accelerators", "1.json"},
		{"classes.quote.shape.tasks", "3.json"},
		{"classes.quote.urgent", "1.json"},
		{"policy.large-wait", "2.json"},
		{"teams.quotes.name", "2.json"},
		{"teams.quotes.quota", "4.json"},
		{"teams.quotes.weight", "3.json"},
		{"teams.vans.name", "3.json"},
	}
	if d := cmp.Diff(wantSources, f.Sources); d != "" {
		t.Error(d)
	}
}

func TestReadFolderProblems(t *testing.T) {
	tests := []struct {
		name  string
		files []string
		want  []string
	}{
		{"no files", nil, []string{": holds no file that ends in .json"}},
		{"not JSON", []string{"{\n\"teams\": [}"}, []string{"1.json: : isn't JSON: line 2: invalid character '}' looking for beginning of value"}},
		{"not an object", []string{`[]`}, []string{"1.json:  = []: must be an object"}},
		{"unknown fields", []string{`{"team": [], "teams": [{"name": "a", "colour": 1}]}`}, []string{
			"1.json: team = []: no such field", "1.json: teams.a.colour = 1: no such field",
		}},
		{"wrong types", []string{`{"teams": [{"name": "a", "quota": "many", "weight": true}], "policy": {"large-wait": 5, "urgent-start": "soon"}}`}, []string{
			`1.json: teams.a.quota = "many": must be a whole number`,
			`1.json: teams.a.weight = true: must be a number`,
			`1.json: policy.large-wait = 5: must be a text`,
			`1.json: policy.urgent-start = "soon": shop.Duration: "soon" is not a duration such as 90s: invalid`,
		}},
		{"null", []string{`{"teams": null, "policy": {"large-wait": null}}`}, []string{
			"1.json: teams = null: must have a value", "1.json: policy.large-wait = null: must have a value",
		}},
		{"no name", []string{`{"teams": [{"quota": 1}, 7, {"name": null}]}`}, []string{
			`1.json: teams[0] = {"quota": 1}: must be an object with a name`,
			`1.json: teams[1] = 7: must be an object with a name`,
			`1.json: teams[2] = {"name": null}: must be an object with a name`,
		}},
		{"duplicate field in an object", []string{`{"teams": [{"name": "a", "quota": 1, "quota": 2}]}`}, []string{
			"1.json: teams.a.quota = 2: is set twice in one object",
		}},
		{"conflicting values", []string{`{"teams": [{"name": "a", "quota": 1}]}`, `{"teams": [{"name": "a", "quota": 2}]}`}, []string{
			`2.json: teams.a.quota = 2: is 1 in 1.json already: say "replace": true in this object to change it`,
		}},
		{"conflicting values within a file", []string{`{"teams": [{"name": "a", "quota": 1}, {"name": "a", "quota": 2}]}`}, []string{
			`1.json: teams.a.quota = 2: is 1 in 1.json already: say "replace": true in this object to change it`,
		}},
		{"replace not boolean", []string{`{"policy": {"replace": "yes", "large-wait": "1m"}}`}, []string{
			`1.json: policy.replace = "yes": must be true or false`,
		}},
		{"zero with a default", []string{`{"policy": {"quarantine-share": 0}}`}, []string{
			"1.json: policy.quarantine-share = 0: must not be zero: leave it out for the default of 0.2",
		}},
		{"invalid value names the file that set it", []string{
			`{"teams": [{"name": "a", "guarantees": [{"shape": {"accelerators": 4}}]}]}`,
			`{"teams": [{"name": "a", "quota": 2}]}`,
			`{"backend-servers": [{"name": "*", "classes": ["fit"]}]}`,
		}, []string{
			"2.json: teams.a.quota = 2: is below the 4 accelerators guaranteed",
			"3.json: backend-servers.*.classes[0] = fit: no such class",
		}},
		{"version", []string{`{"version": 3}`}, []string{
			"1.json: version = 3: is given by the log when the configuration is applied",
		}},
		{"unknown field in a list", []string{`{"teams": [{"name": "a", "guarantees": [{"shap": {}}]}]}`}, []string{
			`1.json: teams.a.guarantees = [{"shap": {}}]: unknown field "shap"`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ReadFolder(folderOf(tt.files...))
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("ReadFolder: %v", err)
			}
			if d := cmp.Diff(tt.want, strings.Split(err.Error(), "\n")); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	a, err := ReadFolder(folderOf(sampleClass, `{"teams": [{"name": "quotes", "quota": 8}]}`))
	if err != nil {
		t.Fatal(err)
	}
	b, err := ReadFolder(folderOf(sampleClass, `{"teams": [{"name": "vans"}], "policy": {"large-wait": "1m"}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := ChangeList{
		{"policy.large-wait", `"30m0s"`, `"1m0s"`},
		{"teams.quotes.name", `"quotes"`, ""},
		{"teams.quotes.quota", "8", ""},
		{"teams.quotes.weight", "1", ""},
		{"teams.vans.name", "", `"vans"`},
		{"teams.vans.weight", "", "1"},
	}
	if d := cmp.Diff(want, Diff(a.Config, b.Config.WithVersion(7))); d != "" {
		t.Error(d)
	}
}

func TestParseConfig(t *testing.T) {
	for _, bad := range []string{`{"teem": []}`, `{} {}`, `[]`, `{"teams": [{"name": "a", "x": 1}]}`, ``} {
		if _, err := ParseConfig([]byte(bad)); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// FuzzFolder checks that an accepted folder is valid, survives encoding to JSON and back,
// has only existing files as sources, and gives the same result when it is read again.
// A rejected folder must give a non-empty error that wraps ErrInvalid.
func FuzzFolder(f *testing.F) {
	f.Add(sampleClass, `{"teams": [{"name": "a", "guarantees": [{"shape": {"accelerators": 2}, "count": 2}]}]}`)
	f.Add(`{"teams": [{"name": "a", "quota": 1}]}`, `{"teams": [{"name": "a", "quota": 2, "replace": true}]}`)
	f.Add(`{"policy": {"quarantine-share": 1e-300}}`, `{"policy": {"large-wait": "1ns"}}`)
	f.Fuzz(func(t *testing.T, one, two string) {
		folder, err := ReadFolder(folderOf(one, two))
		if err != nil {
			if !errors.Is(err, ErrInvalid) || err.Error() == "" {
				t.Fatalf("ReadFolder: %v", err)
			}
			return
		}
		if err := folder.Config.Validate().Err(); err != nil {
			t.Fatalf("accepted folder is invalid: %v", err)
		}
		data, err := json.Marshal(folder.Config)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := ParseConfig(data)
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(folder.Config, parsed); len(d) != 0 {
			t.Fatalf("differs after encoding and decoding: %v", d)
		}
		reread, err := ReadFolder(folderOf(one, two))
		if err != nil || cmp.Diff(folder, reread) != "" {
			t.Fatalf("second ReadFolder: %v, %s", err, cmp.Diff(folder, reread))
		}
		for _, s := range folder.Sources {
			if s.File != "1.json" && s.File != "2.json" {
				t.Fatalf("%s has source %q", s.Field, s.File)
			}
		}
	})
}
