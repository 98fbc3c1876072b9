// Package tomlfile decodes TOML files strictly: unknown keys are errors. Errors name the file, the line and the key.
package tomlfile

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Error is an error in a configuration file with its position.
type Error struct {
	File string
	// Line is the line in the file, counted from 1; 0: unknown.
	Line int
	// Key is the path of the key, such as listener[1].address; empty: the error concerns no single key.
	Key string
	Err error
}

// Error returns the position and the error, as file:line: key: error.
func (e *Error) Error() string {
	text := e.File
	if e.Line > 0 {
		text += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the error without its position.
func (e *Error) Unwrap() error { return e.Err }

// Duration is a duration that is written as a string in the file, such as "250ms".
type Duration time.Duration

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"250ms\"", text)
	}
	*d = Duration(value)
	return nil
}

var errUnknownKey = errors.New("is not known here")

// Decode decodes the contents of a TOML file into v, a pointer to a struct. Its error is an *[Error], also for a key
// that v has no field for.
func Decode(file string, data []byte, v any) error {
	err := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Err: errUnknownKey}
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return &Error{File: file, Line: line, Key: strings.Join(invalid.Key(), "."), Err: valueError(invalid)}
	}
	return &Error{File: file, Err: err}
}

// valueError converts an error of the decoder to one that names the expected value in the terms of TOML. The decoder
// itself names Go types, as in "toml: cannot decode TOML string into struct field T of type int".
func valueError(invalid *toml.DecodeError) error {
	text := strings.TrimPrefix(invalid.Error(), "toml: ")
	_, mismatch, ok := strings.Cut(text, "cannot decode TOML ")
	if !ok {
		return errors.New(text)
	}
	given, _, _ := strings.Cut(mismatch, " ")
	_, wanted, _ := strings.Cut(mismatch, " of type ")
	wanted = strings.TrimLeft(wanted, "*")
	for _, valueType := range valueTypes {
		if strings.HasPrefix(wanted, valueType.goPrefix) {
			return fmt.Errorf("is to be %s, not a TOML %s", valueType.description, given)
		}
	}
	return fmt.Errorf("can't be a TOML %s", given)
}

// valueTypes describes the TOML values that Go types are decoded from, by prefixes of the types' names.
var valueTypes = []struct {
	goPrefix    string
	description string
}{
	{"int", "a whole number"},
	{"uint", "a whole number from 0 on"},
	{"float", "a number"},
	{"bool", "true or false"},
	{"string", "a text in quotes"},
	{"[]", "a list"},
	{"map", "a table"},
	{"struct", "a table"},
}
