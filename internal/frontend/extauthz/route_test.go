package extauthz

import (
	"net/http"
	"net/url"
	"testing"
)

// TestForwardAuthRoutes verifies which route and client URI findRoute returns for prefixes and whole paths.
func TestForwardAuthRoutes(t *testing.T) {
	config := &Config{Routes: []Route{
		{Path: "/envoy", Dialect: Envoy},
		{Path: "/envoy/deep", Dialect: Envoy},
		{Path: "/check", Dialect: Caddy},
	}}
	for uri, want := range map[string]struct {
		path      string
		clientURI string
	}{
		"/envoy/x?y":    {"/envoy", "/x?y"},
		"/envoy":        {"/envoy", "/"},
		"/envoy?q":      {"/envoy", "/?q"},
		"/envoy/deep/z": {"/envoy/deep", "/z"},
		"/envoyx":       {"", ""},
		"/check":        {"/check", ""},
		"/check/x":      {"", ""},
		"/":             {"", ""},
	} {
		parsed, err := url.Parse(uri)
		if err != nil {
			t.Fatal(err)
		}
		route, clientURI := config.findRoute(&http.Request{URL: parsed, RequestURI: uri})
		path := ""
		if route != nil {
			path = route.Path
		}
		if path != want.path || clientURI != want.clientURI {
			t.Errorf("%s: route %q, URI %q", uri, path, clientURI)
		}
	}
}
