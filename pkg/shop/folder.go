package shop

import (
	"bytes"
	"cmp"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"reflect"
	"slices"
	"strings"
)

// Limits for a configuration folder.
const (
	// MaxFileSize is the maximum size of one file.
	MaxFileSize = 1 * MiB
	// maxShownValue is the length in bytes beyond which a problem truncates the value it shows.
	maxShownValue = 60
)

// Folder is a configuration merged from the JSON files of a folder, with the file that
// set each value.
type Folder struct {
	Config  Config
	Sources SourceList
}

// Source is the file that set a field, such as "teams.quotes.quota".
type Source struct {
	Field string `json:"field"`
	File  string `json:"file"`
}

// SourceList holds the sources of a configuration, sorted by field.
type SourceList []Source

// Find returns the file that set a field. If none did, it returns the file of the nearest
// enclosing field, else that of the first field inside it, else "".
func (l SourceList) Find(field string) string {
	for ancestor := field; ancestor != ""; ancestor = parentField(ancestor) {
		for _, s := range l {
			if s.Field == ancestor {
				return s.File
			}
		}
	}
	for _, s := range l {
		if strings.HasPrefix(s.Field, field+".") {
			return s.File
		}
	}
	return ""
}

// parentField returns the field that contains a field: "a.b" for "a.b[0]", and "a" for "a.b".
func parentField(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}

// ReadFolder merges the files of a folder that end in ".json", in the order of
// their names. Each file holds any part of a configuration. Teams, classes and
// backend servers are merged by name and field by field; a list inside one of
// them is merged as a single value. To override a field that an earlier file set to
// another value, a file must say "replace": true in the same object; otherwise the
// field is reported, so that unintended conflicts are noticed.
//
// All mistakes are returned together, as a ProblemList.
func ReadFolder(fsys fs.FS) (Folder, error) {
	names, err := fs.Glob(fsys, "*.json")
	if err != nil {
		return Folder{}, fmt.Errorf("shop.ReadFolder: %w", err)
	}
	slices.Sort(names)
	m := merger{fileByField: map[string]string{}, zeroFileByField: map[string]string{}}
	for _, name := range names {
		m.file = path.Base(name)
		if err := m.mergeFile(fsys, name); err != nil {
			return Folder{}, fmt.Errorf("shop.ReadFolder: %w", err)
		}
	}
	if len(names) == 0 {
		m.addProblem("", "", "holds no file that ends in .json")
	}
	f := Folder{Config: m.config.WithDefaults(), Sources: m.sources()}
	m.checkZero(f.Config)
	for _, p := range f.Config.Validate() {
		p.File = f.Sources.Find(p.Field)
		m.problems = append(m.problems, p)
	}
	if err := m.problems.Err(); err != nil {
		return Folder{}, err
	}
	return f, nil
}

// merger holds the state of merging files into a configuration.
type merger struct {
	config          Config
	file            string            // The file being merged, named in problems.
	fileByField     map[string]string // The file that set each field.
	zeroFileByField map[string]string // The file that set a field to zero.
	problems        ProblemList
}

func (m *merger) addProblem(field, value, message string) {
	if len(value) > maxShownValue {
		value = strings.ToValidUTF8(value[:maxShownValue], "") + "..."
	}
	m.problems = append(m.problems, Problem{File: m.file, Field: field, Value: value, Message: message})
}

func (m *merger) sources() SourceList {
	var l SourceList
	for field, file := range m.fileByField {
		l = append(l, Source{field, file})
	}
	slices.SortFunc(l, func(a, b Source) int { return cmp.Compare(a.Field, b.Field) })
	return l
}

// checkZero reports fields set to zero that have a non-zero default: it would silently
// replace the zero.
func (m *merger) checkZero(c Config) {
	values := flatten(c)
	for _, s := range m.sources() {
		if file, ok := m.zeroFileByField[s.Field]; ok && values[s.Field] != "" {
			m.file = file
			m.addProblem(s.Field, "0", "must not be zero: leave it out for the default of "+values[s.Field])
		}
	}
}

func (m *merger) mergeFile(fsys fs.FS, name string) error {
	f, err := fsys.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, int64(MaxFileSize)+1))
	if err != nil {
		return err
	}
	if len(data) > int(MaxFileSize) {
		m.addProblem("", "", "is larger than "+MaxFileSize.String())
		return nil
	}
	if err := checkJSON(data); err != nil {
		m.addProblem("", "", err.Error())
		return nil
	}
	top := reflect.ValueOf(&m.config).Elem()
	for _, f := range m.splitMembers(data, "") {
		if f.key == "version" {
			m.addProblem(f.key, string(f.value), "is given by the log when the configuration is applied")
			continue
		}
		m.mergeMember(top, f, "", false)
	}
	return nil
}

// checkJSON returns an error with the line number when data isn't exactly one JSON value.
func checkJSON(data []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return fmt.Errorf("isn't JSON: line %d: %w", line, err)
	}
	return err
}

type member struct {
	key   string
	value json.RawMessage
}

// splitMembers returns the members of a JSON object, and reports keys that occur twice.
func (m *merger) splitMembers(data json.RawMessage, field string) []member {
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		m.addProblem(field, string(data), "must be an object")
		return nil
	}
	var l []member
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		key, ok := t.(string)
		var value json.RawMessage
		if err != nil || !ok || d.Decode(&value) != nil {
			m.addProblem(field, string(data), "must be an object")
			return l
		}
		if seen[key] {
			m.addProblem(joinField(field, key), string(value), "is set twice in one object")
			continue
		}
		seen[key] = true
		l = append(l, member{key, value})
	}
	return l
}

func joinField(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}

// mergeObject merges a JSON object into a struct. If replace is true, its values override
// those of earlier files; a "replace" member takes precedence over the parameter.
func (m *merger) mergeObject(dst reflect.Value, data json.RawMessage, field string, replace bool) {
	l := m.splitMembers(data, field)
	for _, f := range l {
		if f.key == "replace" && json.Unmarshal(f.value, &replace) != nil {
			m.addProblem(joinField(field, "replace"), string(f.value), "must be true or false")
		}
	}
	for _, f := range l {
		if f.key != "replace" {
			m.mergeMember(dst, f, field, replace)
		}
	}
}

// mergeMember merges one member of an object into the struct field with its key.
func (m *merger) mergeMember(dst reflect.Value, f member, field string, replace bool) {
	at := joinField(field, f.key)
	v, ok := fieldByKey(dst, f.key)
	switch {
	case !ok:
		m.addProblem(at, string(f.value), "no such field")
	case string(f.value) == "null":
		m.addProblem(at, "null", "must have a value")
	case isNamedList(v.Type()):
		m.mergeList(v, f.value, at)
	case isObject(v.Type()):
		m.mergeObject(v, f.value, at, replace)
	default:
		m.mergeValue(v, f.value, at, replace)
	}
}

// mergeList merges the objects of a list into the elements with the same names.
func (m *merger) mergeList(dst reflect.Value, data json.RawMessage, field string) {
	var l []json.RawMessage
	if json.Unmarshal(data, &l) != nil {
		m.addProblem(field, string(data), "must be a list")
		return
	}
	for i, element := range l {
		at := fmt.Sprintf("%s[%d]", field, i)
		var named struct {
			Name *string `json:"name"`
		}
		if json.Unmarshal(element, &named) != nil || named.Name == nil {
			m.addProblem(at, string(element), "must be an object with a name")
			continue
		}
		m.mergeObject(findOrAppendByName(dst, *named.Name), element, joinField(field, *named.Name), false)
	}
}

// mergeValue sets one field. Changing a value that was set before needs replace.
func (m *merger) mergeValue(dst reflect.Value, data json.RawMessage, field string, replace bool) {
	v := reflect.New(dst.Type())
	if err := DecodeStrict(data, v.Interface()); err != nil {
		m.addProblem(field, string(data), typeErrorMessage(dst.Type(), err))
		return
	}
	earlierFile, isSet := m.fileByField[field]
	same := reflect.DeepEqual(dst.Interface(), v.Elem().Interface())
	switch {
	case isSet && same:
		return
	case isSet && !replace:
		old, _ := json.Marshal(dst.Interface())
		m.addProblem(field, string(data), fmt.Sprintf(
			`is %s in %s already: say "replace": true in this object to change it`, old, earlierFile))
		return
	}
	dst.Set(v.Elem())
	m.fileByField[field] = m.file
	delete(m.zeroFileByField, field)
	if v.Elem().IsZero() {
		m.zeroFileByField[field] = m.file
	}
}

// DecodeStrict decodes data, which must be exactly one JSON value without unknown fields, into v.
func DecodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more follows the value")
	}
	return nil
}

// typeErrorMessage describes the values that a field of type t takes, after decoding one
// failed with err.
func typeErrorMessage(t reflect.Type, err error) string {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return strings.TrimPrefix(err.Error(), "json: ")
	}
	switch t.Kind() {
	case reflect.Bool:
		return "must be true or false"
	case reflect.Int:
		return "must be a whole number"
	case reflect.Float64:
		return "must be a number"
	case reflect.Slice:
		return "must be a list of the right values: " + strings.TrimPrefix(err.Error(), "json: ")
	default:
		return "must be a text"
	}
}

// isNamedList reports whether a type is a slice of structs with a Name field.
func isNamedList(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	_, ok := t.Elem().FieldByName("Name")
	return ok
}

// isObject reports whether a type is merged field by field: a struct that isn't encoded as text.
func isObject(t reflect.Type) bool {
	text := reflect.TypeFor[encoding.TextMarshaler]()
	return t.Kind() == reflect.Struct && !t.Implements(text)
}

func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if jsonKey(v.Type().Field(i)) == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func jsonKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return key
}

// findOrAppendByName returns the element with a name, appending it if there is none.
func findOrAppendByName(list reflect.Value, name string) reflect.Value {
	for i := range list.Len() {
		if e := list.Index(i); e.FieldByName("Name").String() == name {
			return e
		}
	}
	e := reflect.New(list.Type().Elem()).Elem()
	e.FieldByName("Name").SetString(name)
	list.Set(reflect.Append(list, e))
	return list.Index(list.Len() - 1)
}

// ParseConfig decodes a configuration from JSON and sets its defaults. Unknown fields are
// an error that wraps ErrInvalid; the values aren't validated.
func ParseConfig(data []byte) (Config, error) {
	var c Config
	if err := DecodeStrict(data, &c); err != nil {
		return Config{}, fmt.Errorf("shop.ParseConfig: %w: %w", ErrInvalid, err)
	}
	return c.WithDefaults(), nil
}

// Change is a field whose value differs between two configurations. Before and After
// are JSON, or empty when the field is zero or absent.
type Change struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ChangeList holds the differences between two configurations, sorted by field.
type ChangeList []Change

// Diff returns the fields that differ between two configurations, except the version.
func Diff(a, b Config) ChangeList {
	before, after := flatten(a), flatten(b)
	var l ChangeList
	for field, v := range before {
		if after[field] != v {
			l = append(l, Change{field, v, after[field]})
		}
	}
	for field, v := range after {
		if _, ok := before[field]; !ok {
			l = append(l, Change{field, "", v})
		}
	}
	slices.SortFunc(l, func(a, b Change) int { return cmp.Compare(a.Field, b.Field) })
	return l
}

// flatten returns the JSON of each non-zero field, keyed by field.
func flatten(c Config) map[string]string {
	values := map[string]string{}
	flattenInto(values, reflect.ValueOf(c.WithVersion(0)), "")
	return values
}

func flattenInto(values map[string]string, v reflect.Value, field string) {
	switch {
	case isObject(v.Type()):
		for i := range v.NumField() {
			flattenInto(values, v.Field(i), joinField(field, jsonKey(v.Type().Field(i))))
		}
	case isNamedList(v.Type()):
		for i := range v.Len() {
			e := v.Index(i)
			flattenInto(values, e, joinField(field, e.FieldByName("Name").String()))
		}
	case !v.IsZero() && (v.Kind() != reflect.Slice || v.Len() > 0):
		data, _ := json.Marshal(v.Interface())
		values[field] = string(data)
	}
}
