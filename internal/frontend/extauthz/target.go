package extauthz

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// Header fields in which nginx, if configured to do so, describes the client's request.
const (
	originalMethodHeader = "X-Original-Method"
	originalURLHeader    = "X-Original-Url"
	originalURIHeader    = "X-Original-Uri"
	originalHostHeader   = "X-Original-Host"
	originalProtoHeader  = "X-Original-Proto"
)

// Header fields in which other proxies describe the client's request.
const (
	forwardedMethodHeader = "X-Forwarded-Method"
	forwardedURIHeader    = "X-Forwarded-Uri"
	forwardedHostHeader   = "X-Forwarded-Host"
	forwardedProtoHeader  = "X-Forwarded-Proto"
)

// Valid methods: these characters, and this length at most.
const (
	methodCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ-"
	maxMethodLength  = 32
)

// Errors of a target, besides those of single header fields. Clients are told the texts.
var (
	errURLAndURI = errors.New(originalURLHeader + " and " + originalURIHeader + " exclude each other")
	errMethod    = errors.New("the method can't be read")
)

// target is the client's request as described by the web proxy.
type target struct {
	method string
	// scheme is empty if the web proxy does not state it.
	scheme string
	host   string
	// uri is the path with the query, if any.
	uri string
}

// readTarget returns the target of a check in the route's dialect. uri is the URI that findRoute returned.
func (r *Route) readTarget(request *http.Request, uri string) (target, error) {
	var t target
	var err error
	switch r.Dialect {
	case Envoy:
		t, err = readEnvoyTarget(request, uri)
	case Nginx:
		t, err = readNginxTarget(request.Header)
	default:
		t, err = readForwardedTarget(request.Header)
	}
	if err != nil {
		return target{}, err
	}
	if !isMethod(t.method) {
		return target{}, errMethod
	}
	return t, nil
}

// isMethod reports whether a method is valid.
func isMethod(method string) bool {
	return method != "" && strings.Trim(method, methodCharacters) == "" && len(method) <= maxMethodLength
}

// readEnvoyTarget returns the target of a check that has the client's method and host.
func readEnvoyTarget(request *http.Request, uri string) (target, error) {
	reader := headerReader{header: request.Header}
	t := target{
		method: request.Method,
		scheme: reader.optional(forwardedProtoHeader),
		host:   request.Host,
		uri:    uri,
	}
	return t, reader.err
}

// readNginxTarget returns the target in X-Original-*: either a URL, or a URI with an optional host.
func readNginxTarget(header http.Header) (target, error) {
	reader := headerReader{header: header}
	method := reader.required(originalMethodHeader)
	fullURL := reader.optional(originalURLHeader)
	uri := reader.optional(originalURIHeader)
	host := reader.optional(originalHostHeader)
	scheme := reader.optional(originalProtoHeader)
	switch {
	case reader.err != nil:
		return target{}, reader.err
	case fullURL != "" && uri != "":
		return target{}, errURLAndURI
	case fullURL != "":
		return readURLTarget(method, fullURL)
	case uri == "":
		return target{}, &headerError{name: originalURIHeader, err: errMissing}
	}
	return target{
		method: method,
		scheme: scheme,
		host:   host,
		uri:    uri,
	}, nil
}

// readURLTarget returns the target of an absolute URL.
func readURLTarget(method, fullURL string) (target, error) {
	parsed, err := url.Parse(fullURL)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" || parsed.User != nil {
		return target{}, &headerError{name: originalURLHeader, err: errUnreadable}
	}
	return target{
		method: method,
		scheme: parsed.Scheme,
		host:   parsed.Host,
		uri:    parsed.RequestURI(),
	}, nil
}

// readForwardedTarget returns the target in X-Forwarded-*.
func readForwardedTarget(header http.Header) (target, error) {
	reader := headerReader{header: header}
	t := target{method: reader.required(forwardedMethodHeader)}
	t.uri = reader.required(forwardedURIHeader)
	t.host = reader.required(forwardedHostHeader)
	t.scheme = reader.optional(forwardedProtoHeader)
	return t, reader.err
}
