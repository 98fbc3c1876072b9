// Package extauthz is the frontend for HTTP external authorization: a web proxy asks by a check whether a request may
// pass before it forwards it to a customer's own service. Each check becomes an admission-only request of a pool's
// proxy, so quotas, ceilings and limits on requests in flight are those of the other frontends. The design is described
// in docs/design/forward-auth.md.
//
// Handlers run on goroutines of net/http: they read and verify a check and write its answer. Cached decisions and
// admitted requests in flight belong to the event loop of the check's pool, which handlers reach by posting tasks.
package extauthz
