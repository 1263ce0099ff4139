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

// Read reads a settings file into a pointer to one of this package's types.
// Every mistake is listed at once, as a shop.ProblemList naming the file.
func Read(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings.Read: %w", err)
	}
	return Parse(file, data, into)
}

// Parse reads settings from data; the file only names them in problems.
func Parse(file string, data []byte, into any) error {
	problems := decode(data, into)
	if d, ok := into.(interface{ Defaults() }); ok {
		d.Defaults()
	}
	problems = append(problems, validate(into, problems)...)
	for i := range problems {
		problems[i].File = file
	}
	return problems.Err()
}

// decode fills the value field by field, so that one mistake hides no other.
func decode(data []byte, into any) shop.ProblemList {
	var l shop.ProblemList
	decodeValue("", data, reflect.ValueOf(into).Elem(), &l)
	return l
}

func decodeValue(path string, data []byte, v reflect.Value, l *shop.ProblemList) {
	_, ownText := v.Addr().Interface().(encoding.TextUnmarshaler)
	if v.Kind() == reflect.Struct && !ownText {
		decodeObject(path, data, v, l)
		return
	}
	if err := json.Unmarshal(data, v.Addr().Interface()); err != nil {
		l.Add(path, string(bytes.TrimSpace(data)), describe(err))
	}
}

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

// field is a settable field under its JSON name.
type field struct {
	name  string
	value reflect.Value
}

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

func describe(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Sprintf("must be a %s, not a %s", wrong.Type.Kind(), wrong.Value)
	}
	return err.Error()
}

// validate checks the values; a field that could not be read is not named twice.
func validate(into any, known shop.ProblemList) shop.ProblemList {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.Struct(into)
	var wrong validator.ValidationErrors
	if !errors.As(err, &wrong) {
		return nil
	}
	var l shop.ProblemList
	for _, w := range wrong {
		path := fieldPath(w)
		if slices.ContainsFunc(known, func(p shop.Problem) bool { return p.Field == path }) {
			continue
		}
		l.Add(path, fmt.Sprint(w.Value()), explain(w))
	}
	return l
}

// fieldPath drops the names of the struct and of embedded ones.
func fieldPath(w validator.FieldError) string {
	parts := strings.Split(w.Namespace(), ".")[1:]
	parts = slices.DeleteFunc(parts, func(s string) bool { return s == "Process" })
	return strings.Join(parts, ".")
}

func explain(w validator.FieldError) string {
	switch w.Tag() {
	case "required":
		return "must be set"
	case "hostname_port":
		return "must be host:port"
	case "url":
		return "must be a URL"
	case "oneof":
		return "must be one of " + w.Param()
	case "gt":
		return "must be above " + w.Param()
	case "gte":
		return "must not be below " + w.Param()
	case "lte":
		return "must not be above " + w.Param()
	default:
		return "breaks the rule " + w.Tag()
	}
}
