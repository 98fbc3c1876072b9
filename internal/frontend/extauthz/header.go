package extauthz

import (
	"errors"
	"net/http"
)

// Errors of header fields. Clients are told the texts.
var (
	// errRepeated means that a field occurs more than once, so that other programs might use another of its values.
	errRepeated = errors.New("stands more than once")
	// errMissing means that a required field is missing or empty.
	errMissing = errors.New("is missing")
	// errUnreadable means that a field's value is malformed.
	errUnreadable = errors.New("can't be read")
)

// headerError is an error in one header field.
type headerError struct {
	// name is the field's name in canonical form.
	name string
	err  error
}

// Error implements error. Clients are told the text, so it does not contain the field's value.
func (e *headerError) Error() string {
	return e.name + " " + e.err.Error()
}

// Unwrap returns the error without the field's name.
func (e *headerError) Unwrap() error {
	return e.err
}

// singleValue returns the value of a header field, or an empty string if there is none. name must be in canonical form.
// The error wraps errRepeated.
func singleValue(header http.Header, name string) (string, error) {
	switch values := header[name]; len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", &headerError{name: name, err: errRepeated}
	}
}

// headerReader reads several header fields. After an error it returns empty strings.
type headerReader struct {
	header http.Header
	// err is the first error.
	err error
}

// optional returns the value of a field, or an empty string if there is none.
func (r *headerReader) optional(name string) string {
	if r.err != nil {
		return ""
	}
	var value string
	value, r.err = singleValue(r.header, name)
	return value
}

// required returns the value of a field that must not be empty.
func (r *headerReader) required(name string) string {
	value := r.optional(name)
	if r.err == nil && value == "" {
		r.err = &headerError{name: name, err: errMissing}
	}
	return value
}
