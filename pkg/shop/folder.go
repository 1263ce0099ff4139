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

// Bounds of a configuration folder.
const (
	MaxFileSize = 1 * MiB
	// maxShownValue bounds how much of a wrong value a problem shows, in bytes.
	maxShownValue = 60
)

// Folder is a configuration merged from a folder of small JSON files, and which
// file set each value.
type Folder struct {
	Config  Config
	Sources SourceList
}

// Source says which file set a field, such as "teams.quotes.quota".
type Source struct {
	Field string `json:"field"`
	File  string `json:"file"`
}

// SourceList is sources, sorted by field.
type SourceList []Source

// Find returns the file that set a field, or else what holds it or is in it.
func (l SourceList) Find(field string) string {
	for at := field; at != ""; at = parentField(at) {
		for _, s := range l {
			if s.Field == at {
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

// parentField cuts the last part off a field: "a.b[0]" is in "a.b", which is in "a".
func parentField(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}

// ReadFolder merges the files of a folder that end in ".json", in the order of
// their names. A file holds any part of a configuration. Teams, classes and
// backend servers are merged by name and field by field; a list inside one of
// them counts as one value. A file that gives a field another value than an
// earlier file must say "replace": true in the same object, so that two files
// that contradict each other by mistake are noticed.
//
// All mistakes are returned at once, as a ProblemList.
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

// merger collects what the files set.
type merger struct {
	config          Config
	file            string
	fileByField     map[string]string // File by field.
	zeroFileByField map[string]string // File by field that was set to zero.
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

// checkZero refuses a zero that the default would silently replace.
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

// checkJSON refuses data that isn't exactly one JSON value, and says where.
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

// splitMembers splits a JSON object, and reports fields that are set twice in it.
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

// mergeObject merges a JSON object into a struct.
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

// mergeMember merges one field of an object.
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

// mergeList merges the objects of a list by their names.
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

// mergeValue sets one value. Another value than an earlier file's needs replace.
func (m *merger) mergeValue(dst reflect.Value, data json.RawMessage, field string, replace bool) {
	v := reflect.New(dst.Type())
	if err := DecodeStrict(data, v.Interface()); err != nil {
		m.addProblem(field, string(data), typeErrorMessage(dst.Type(), err))
		return
	}
	before, again := m.fileByField[field]
	same := reflect.DeepEqual(dst.Interface(), v.Elem().Interface())
	switch {
	case again && same:
		return
	case again && !replace:
		old, _ := json.Marshal(dst.Interface())
		m.addProblem(field, string(data), fmt.Sprintf(
			`is %s in %s already: say "replace": true in this object to change it`, old, before))
		return
	}
	dst.Set(v.Elem())
	m.fileByField[field] = m.file
	delete(m.zeroFileByField, field)
	if v.Elem().IsZero() {
		m.zeroFileByField[field] = m.file
	}
}

// DecodeStrict reads one JSON value and refuses unknown fields and what follows it.
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

// typeErrorMessage says what a value of the type must be.
func typeErrorMessage(t reflect.Type, err error) string {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
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

// isNamedList says whether a type is a list of objects that carry names.
func isNamedList(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	_, ok := t.Elem().FieldByName("Name")
	return ok
}

// isObject says whether a type is merged field by field.
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

// findOrAppendByName returns the element of that name, and appends one when there is none.
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

// ParseConfig reads a configuration as JSON. Unknown fields are refused, and
// what is left out gets its default.
func ParseConfig(data []byte) (Config, error) {
	var c Config
	if err := DecodeStrict(data, &c); err != nil {
		return Config{}, fmt.Errorf("shop.ParseConfig: %w: %w", ErrInvalid, err)
	}
	return c.WithDefaults(), nil
}

// Change is a field whose value differs between two configurations. A value
// that is zero or not there is empty.
type Change struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ChangeList is changes, sorted by field.
type ChangeList []Change

// Diff lists the fields that differ between two configurations, apart from
// their versions.
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

// flatten returns the JSON of each field that isn't zero, by field.
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
