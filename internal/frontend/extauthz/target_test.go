package extauthz

import (
	"net/http"
	"strings"
	"testing"

	"gapgap/internal/account"
)

// FuzzForwardAuthTarget verifies that any header fields of a check give either an error or a complete target, and that
// the host and path that rules match are normalized.
func FuzzForwardAuthTarget(f *testing.F) {
	f.Add(0, "GET", "/a?b", "flags.example.org", "", "/")
	f.Add(0, "POST", "", "", "https://flags.example.org/x", "/")
	f.Add(1, "GET", "/%2e%2e/x", "[::1]:80", "", "/")
	f.Add(3, "PUT", "", "h", "", "?x")
	f.Fuzz(func(t *testing.T, dialect int, method, uri, host, fullURL, envoyURI string) {
		route := &Route{Dialect: Dialect(uint(dialect) % 4)}
		request := &http.Request{
			Method: method,
			Host:   host,
			Header: http.Header{
				"X-Original-Method":  {method},
				"X-Original-Uri":     {uri},
				"X-Original-Url":     {fullURL},
				"X-Original-Host":    {host},
				"X-Forwarded-Method": {method},
				"X-Forwarded-Uri":    {uri},
				"X-Forwarded-Host":   {host},
			},
		}
		for name, values := range request.Header {
			if values[0] == "" {
				delete(request.Header, name)
			}
		}
		read, err := route.readTarget(request, envoyURI)
		if err != nil {
			return
		}
		if read.method == "" || strings.ContainsAny(read.method, " \r\n") {
			t.Errorf("method %q", read.method)
		}
		cleanHost, cleanPath, err := account.Target(read.host, read.uri)
		if err != nil {
			return
		}
		if !strings.HasPrefix(cleanPath, "/") || strings.ContainsAny(cleanHost, "/@ \r\n") ||
			strings.Contains(cleanPath+"/", "/../") {
			t.Errorf("%+v became %q %q", read, cleanHost, cleanPath)
		}
	})
}
