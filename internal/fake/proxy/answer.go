package proxy

import (
	"io"
	"net/http"
	"slices"
)

// checkErrorStatus is the status that the client gets if no check was answered. Envoy's is its status_on_error.
var checkErrorStatus = map[Kind]int{
	Nginx:   http.StatusInternalServerError,
	Traefik: http.StatusInternalServerError,
	Caddy:   http.StatusBadGateway,
	Envoy:   http.StatusForbidden,
}

// identityHeaders are the headers of a check's answer that are forwarded to the service with the request.
var identityHeaders = []string{"X-Gapgap-Account", "X-Gapgap-Plan", "X-Gapgap-Request-Id"}

// envoyAnswerHeaders are the headers of a check's answer that Envoy forwards to its client.
var envoyAnswerHeaders = []string{
	"Retry-After",
	"X-Gapgap-Retry-After-Ms",
	"Www-Authenticate",
	"Content-Type",
	"Ratelimit",
	"Ratelimit-Policy",
}

// allows reports whether a check's answer admits the request: with any 2xx status, or for Envoy only with 200.
func (p *Proxy) allows(answer *http.Response) bool {
	if p.config.Kind == Envoy {
		return answer.StatusCode == http.StatusOK
	}
	return answer.StatusCode/100 == 2
}

// withIdentity returns a copy of a request with the identity headers of the check's answer. Identity headers that the
// client has set are removed.
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

// writeNginxAnswer writes the response that auth_request derives from an answer: 401 with its challenge, 403, or 500
// for any other status. The documented nginx configuration captures the headers with auth_request_set, as in
// auth_request_set $gapgap_status $upstream_http_x_gapgap_status, and its error_page for 403 returns that status with
// Retry-After.
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

// statusOfForbidden returns the status that nginx's error_page returns for an answer with status 403.
func statusOfForbidden(answer *http.Response) int {
	switch answer.Header.Get("X-Gapgap-Status") {
	case "429":
		return http.StatusTooManyRequests
	case "503":
		return http.StatusServiceUnavailable
	}
	return http.StatusForbidden
}

// writeEnvoyAnswer forwards an answer with the headers that Envoy allows. Envoy treats a status of 500 or above as an
// error of the authorization service and then rejects the request, because failure_mode_allow is off.
func writeEnvoyAnswer(w http.ResponseWriter, answer *http.Response) {
	if answer.StatusCode >= http.StatusInternalServerError {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	writeAnswer(w, answer, envoyAnswerHeaders...)
}

// writeAnswer forwards an answer with the given headers, or with all headers if none are given.
func writeAnswer(w http.ResponseWriter, answer *http.Response, only ...string) {
	for name, values := range answer.Header {
		if len(only) == 0 || slices.Contains(only, name) {
			w.Header()[name] = values
		}
	}
	removeHeaders(w.Header(), hopByHopHeaders)
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body) // fails only if one side has disconnected
}
