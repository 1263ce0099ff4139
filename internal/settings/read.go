package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"sniperill.example/sniperill/pkg/shop"
)

// Read reads a JSON settings file into a pointer to one of this package's types. All
// problems are returned together, as a shop.ProblemList that names the file.
func Read(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings.Read: %w", err)
	}
	return Parse(file, data, into)
}

// Parse reads settings from data as Read does. The file name is only used in
// problems.
func Parse(file string, data []byte, into any) error {
	problems := decode(data, into)
	if d, ok := into.(interface{ SetDefaults() }); ok {
		d.SetDefaults()
	}
	problems = append(problems, validate(into, problems)...)
	for i := range problems {
		problems[i].File = file
	}
	return problems.Err()
}

// decode decodes the value field by field, so that one problem hides no other.
func decode(data []byte, into any) shop.ProblemList {
	var l shop.ProblemList
	decodeValue("", data, reflect.ValueOf(into).Elem(), &l)
	return l
}

func decodeValue(path string, data []byte, v reflect.Value, l *shop.ProblemList) {
	_, isText := v.Addr().Interface().(encoding.TextUnmarshaler)
	if v.Kind() == reflect.Struct && !isText {
		decodeObject(path, data, v, l)
		return
	}
	if err := json.Unmarshal(data, v.Addr().Interface()); err != nil {
		l.Add(path, string(bytes.TrimSpace(data)), describe(err))
	}
}

// decodeObject decodes the fields of a struct and reports unknown ones.
func decodeObject(path string, data []byte, v reflect.Value, l *shop.ProblemList) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		l.Add(firstNonEmpty(path, "(file)"), "", describe(err))
		return
	}
	fields := fieldsOf(v)
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			l.Add(join(path, name), string(object[name]), "is not a known field")
			continue
		}
		decodeValue(join(path, name), object[name], fields[i].value, l)
	}
}

// field is a struct field with its JSON name.
type field struct {
	name  string
	value reflect.Value
}

// fieldsOf returns the fields of a struct, including those of embedded structs.
func fieldsOf(v reflect.Value) []field {
	var out []field
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			out = append(out, fieldsOf(v.Field(i))...)
			continue
		}
		out = append(out, field{name: jsonName(f), value: v.Field(i)})
	}
	return out
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return firstNonEmpty(name, f.Name)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describe returns the message of a problem for a decoding error.
func describe(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("must be a %s, not a %s", typeErr.Type.Kind(), typeErr.Value)
	}
	return err.Error()
}

// validate checks the values against their rules. It leaves out the fields of known
// problems, so that a field that could not be decoded is not reported twice.
func validate(into any, known shop.ProblemList) shop.ProblemList {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.Struct(into)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil
	}
	var l shop.ProblemList
	for _, violation := range violations {
		path := fieldPath(violation)
		if slices.ContainsFunc(known, func(p shop.Problem) bool { return p.Field == path }) {
			continue
		}
		l.Add(path, fmt.Sprint(violation.Value()), explain(violation))
	}
	return l
}

// fieldPath returns the JSON path of a field, without the names of the outer struct
// and of the embedded Process.
func fieldPath(violation validator.FieldError) string {
	parts := strings.Split(violation.Namespace(), ".")[1:]
	parts = slices.DeleteFunc(parts, func(s string) bool { return s == "Process" })
	return strings.Join(parts, ".")
}

// explain returns the message of a problem for a violated rule.
func explain(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required":
		return "must be set"
	case "hostname_port":
		return "must be host:port"
	case "url":
		return "must be a URL"
	case "oneof":
		return "must be one of " + violation.Param()
	case "gt":
		return "must be above " + violation.Param()
	case "gte":
		return "must not be below " + violation.Param()
	case "lte":
		return "must not be above " + violation.Param()
	default:
		return "breaks the rule " + violation.Tag()
	}
}
