package proxy

import (
	"io"
	"net/http"
	"slices"
)

// statusWithoutAnswer is what the client gets when no check was answered. Envoy's is its status_on_error.
var statusWithoutAnswer = map[Kind]int{
	Nginx:   http.StatusInternalServerError,
	Traefik: http.StatusInternalServerError,
	Caddy:   http.StatusBadGateway,
	Envoy:   http.StatusForbidden,
}

// identityHeaders are those of a check's answer that the service gets with the request.
var identityHeaders = []string{"X-Gapgap-Account", "X-Gapgap-Plan", "X-Gapgap-Request-Id"}

// envoyAnswerHeaders are those of a check's answer that Envoy's client gets.
var envoyAnswerHeaders = []string{
	"Retry-After",
	"X-Gapgap-Retry-After-Ms",
	"Www-Authenticate",
	"Content-Type",
	"Ratelimit",
	"Ratelimit-Policy",
}

// letsThrough reports whether a check's answer lets the request through: any 2xx, or for Envoy 200 alone.
func (p *Proxy) letsThrough(answer *http.Response) bool {
	if p.config.Kind == Envoy {
		return answer.StatusCode == http.StatusOK
	}
	return answer.StatusCode/100 == 2
}

// withIdentity returns a copy of a request with the identity headers of the check's answer, never the client's own.
func withIdentity(r *http.Request, answer *http.Response) *http.Request {
	forwarded := r.Clone(r.Context())
	for _, name := range identityHeaders {
		forwarded.Header.Del(name)
		if value := answer.Header.Get(name); value != "" {
			forwarded.Header.Set(name, value)
		}
	}
	return forwarded
}

// writeNginxAnswer writes what auth_request makes of an answer: 401 with its challenge, 403, and 500 for all else.
// The page for operators sets auth_request_set $gapgap_status $upstream_http_x_gapgap_status and the like, and an
// error_page for 403 that returns that status with Retry-After.
func writeNginxAnswer(w http.ResponseWriter, answer *http.Response) {
	switch answer.StatusCode {
	case http.StatusUnauthorized:
		w.Header()["Www-Authenticate"] = answer.Header["Www-Authenticate"]
		w.WriteHeader(http.StatusUnauthorized)
	case http.StatusForbidden:
		if retryAfter := answer.Header.Get("Retry-After"); retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(statusOfForbidden(answer))
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// statusOfForbidden returns the status that nginx's error_page gives an answer of 403.
func statusOfForbidden(answer *http.Response) int {
	switch answer.Header.Get("X-Gapgap-Status") {
	case "429":
		return http.StatusTooManyRequests
	case "503":
		return http.StatusServiceUnavailable
	}
	return http.StatusForbidden
}

// writeEnvoyAnswer passes an answer on with the headers that Envoy lets pass. One of 500 and above counts as an error
// of the check's service, which is rejected since failure_mode_allow is off.
func writeEnvoyAnswer(w http.ResponseWriter, answer *http.Response) {
	if answer.StatusCode >= http.StatusInternalServerError {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	writeAnswer(w, answer, envoyAnswerHeaders...)
}

// writeAnswer passes an answer on with the headers that are named, or with all if none is.
func writeAnswer(w http.ResponseWriter, answer *http.Response, only ...string) {
	for name, values := range answer.Header {
		if len(only) == 0 || slices.Contains(only, name) {
			w.Header()[name] = values
		}
	}
	removeHeaders(w.Header(), hopByHopHeaders)
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body) // the client has left, or the check's server: either sees it
}
