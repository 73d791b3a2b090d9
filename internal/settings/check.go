package settings

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Problem is one value that is not accepted.
type Problem struct {
	File string
	// Line is 0 when the key is absent.
	Line     int
	Key      string
	Value    string
	Accepted string
}

// String returns the problem as one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place += ":" + strconv.Itoa(p.Line)
	}
	return fmt.Sprintf("%s: %s = %s, accepted: %s", place, p.Key, p.Value, p.Accepted)
}

// ValidationError lists every problem of a file, so that an operator mends them in one pass.
type ValidationError struct {
	Problems []Problem
}

// Error implements the error interface.
func (i *ValidationError) Error() string {
	lines := make([]string, len(i.Problems))
	for n, problem := range i.Problems {
		lines[n] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// ipPortTag is the validation tag of addresses. VMs are addressed by IP number, so names are not accepted.
const ipPortTag = "ip_port"

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	// The name and the function are fixed here, so registration cannot fail.
	_ = validate.RegisterValidation(ipPortTag, func(level validator.FieldLevel) bool { return isIPPort(level.Field().String()) })
	return validate
}

func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number > 0 && number <= 65535
}

// check reports unknown keys and values outside their accepted range as one error.
func check(file string, data []byte, meta toml.MetaData, loaded any) error {
	invalid := &ValidationError{}
	for _, key := range meta.Undecoded() {
		invalid.Problems = append(invalid.Problems, Problem{
			File: file, Line: lineOf(data, key.String()), Key: key.String(), Value: "(set)", Accepted: "a known key",
		})
	}
	var fields validator.ValidationErrors
	if err := newValidator().Struct(loaded); errors.As(err, &fields) {
		for _, field := range fields {
			invalid.Problems = append(invalid.Problems, problemOf(file, data, loaded, field))
		}
	}
	if len(invalid.Problems) == 0 {
		return nil
	}
	return fault.New(fault.Settings, "settings.check", "%w", invalid)
}

func problemOf(file string, data []byte, loaded any, field validator.FieldError) Problem {
	_, key, _ := strings.Cut(field.Namespace(), ".")
	value := fmt.Sprintf("%v", field.Value())
	if text, ok := field.Value().(string); ok {
		value = strconv.Quote(text)
	}
	return Problem{File: file, Line: lineOf(data, key), Key: key, Value: value, Accepted: accepted(loaded, field)}
}

// accepted describes the whole accepted range of the field in words.
func accepted(loaded any, field validator.FieldError) string {
	structField, ok := fieldAt(reflect.TypeOf(loaded).Elem(), field.StructNamespace())
	if !ok {
		return field.Tag() + " " + field.Param()
	}
	var words []string
	for _, rule := range strings.Split(structField.Tag.Get("validate"), ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			words = append(words, "not empty")
		case "oneof":
			words = append(words, "one of "+strings.ReplaceAll(parameter, " ", ", "))
		case "min":
			words = append(words, "at least "+parameter)
		case "max":
			words = append(words, "at most "+parameter)
		case ipPortTag:
			words = append(words, "IP:PORT")
		case "dive":
			words = append(words, "each")
		}
	}
	return strings.Join(words, ", ")
}

// fieldAt follows a namespace such as Routes.Routes[0].Coverage, whose first part names the type itself.
func fieldAt(at reflect.Type, namespace string) (field reflect.StructField, ok bool) {
	for _, name := range strings.Split(namespace, ".")[1:] {
		for at.Kind() == reflect.Slice || at.Kind() == reflect.Pointer {
			at = at.Elem()
		}
		if at.Kind() != reflect.Struct {
			return field, false
		}
		if field, ok = at.FieldByName(indexPattern.ReplaceAllString(name, "")); !ok {
			return field, false
		}
		at = field.Type
	}
	return field, ok
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// lineOf returns the line on which the last part of the key is set, in the table that the rest of the key names, or 0.
func lineOf(data []byte, key string) int {
	key = indexPattern.ReplaceAllString(key, "")
	table := ""
	for n, line := range strings.Split(string(data), "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			table = strings.Trim(strings.Split(trimmed, "#")[0], "[] \t")
			if table == key {
				return n + 1
			}
			continue
		}
		name, _, found := strings.Cut(trimmed, "=")
		if found && strings.TrimPrefix(table+"."+strings.TrimSpace(name), ".") == key {
			return n + 1
		}
	}
	return 0
}
