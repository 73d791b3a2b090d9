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

// Problem is one invalid value or unknown key.
type Problem struct {
	File string
	// Line is 0 if the file does not contain the key.
	Line  int
	Key   string
	Value string
	// Accepted describes the accepted values.
	Accepted string
}

// String returns the problem on one line.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location += ":" + strconv.Itoa(p.Line)
	}
	return fmt.Sprintf("%s: %s = %s, accepted: %s", location, p.Key, p.Value, p.Accepted)
}

// ValidationError lists every problem of a file, so that an operator can fix them all in one pass.
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

// ipPortTag is the validation tag of addresses. VMs are addressed by IP address, so host names are not accepted.
const ipPortTag = "ip_port"

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	// Registration cannot fail, because the tag is not empty and the function is not nil.
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

// validateLoaded returns one error for all unknown keys and invalid values, or nil.
func validateLoaded(file string, data []byte, meta toml.MetaData, loaded any) error {
	invalid := &ValidationError{}
	for _, key := range meta.Undecoded() {
		invalid.Problems = append(invalid.Problems, Problem{
			File: file, Line: findLine(data, key.String()), Key: key.String(), Value: "(unknown key)", Accepted: "only known keys",
		})
	}
	var fields validator.ValidationErrors
	if err := newValidator().Struct(loaded); errors.As(err, &fields) {
		for _, field := range fields {
			invalid.Problems = append(invalid.Problems, newProblem(file, data, loaded, field))
		}
	}
	if len(invalid.Problems) == 0 {
		return nil
	}
	return fault.New(fault.Settings, "settings.check", "%w", invalid)
}

func newProblem(file string, data []byte, loaded any, field validator.FieldError) Problem {
	_, key, _ := strings.Cut(field.Namespace(), ".")
	// The keys of an embedded struct are in the same TOML table.
	key = strings.TrimPrefix(key, "Callers.")
	value := fmt.Sprintf("%v", field.Value())
	if text, ok := field.Value().(string); ok {
		value = strconv.Quote(text)
	}
	return Problem{File: file, Line: findLine(data, key), Key: key, Value: value, Accepted: describeAccepted(loaded, field)}
}

// describeAccepted describes in words all values that the field accepts, not only the rule that the value violates.
func describeAccepted(loaded any, field validator.FieldError) string {
	structField, ok := findField(reflect.TypeOf(loaded).Elem(), field.StructNamespace())
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

// findField returns the field that a namespace such as Routes.Routes[0].Coverage names. Its first part is
// the name of the type.
func findField(structType reflect.Type, namespace string) (field reflect.StructField, ok bool) {
	for _, name := range strings.Split(namespace, ".")[1:] {
		for structType.Kind() == reflect.Slice || structType.Kind() == reflect.Pointer {
			structType = structType.Elem()
		}
		if structType.Kind() != reflect.Struct {
			return field, false
		}
		if field, ok = structType.FieldByName(indexPattern.ReplaceAllString(name, "")); !ok {
			return field, false
		}
		structType = field.Type
	}
	return field, ok
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// findLine returns the number of the first line that sets the key, or 0. The last part of the key is the name in the
// line, the rest is the TOML table that contains the line. It ignores indexes, so that an entry of an array of tables
// may get the line of an earlier entry.
func findLine(data []byte, key string) int {
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
